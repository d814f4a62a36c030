"""A wire in memory: connections between machines, and what may go wrong on the way.

Bytes take a moment to arrive. A cut, one-way or both, holds them back as lost packets would, and a connection
attempt over it is silent. A killed process resets its connections; a machine that lost power says nothing. A
frozen machine does nothing on any wire until it wakes.
"""

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

import anyio
from anyio.abc import ByteStream

from finchswitch.constants import CALLER_STILL_MS, SIM_AGAIN_MS, SIM_SEGMENT_BYTES, SIM_WINDOW_BYTES
from finchswitch.simulation.history import DialSeen
from finchswitch.simulation.listener import SimListener, note_dial
from finchswitch.simulation.machine import Machine
from finchswitch.simulation.thin_link import ThinLink

__all__ = ["Net", "SimListener", "SimStream", "host_of"]


class Net:
    def __init__(self, chance: Random, least_ms: float = 0.2, most_ms: float = 1.0) -> None:
        self.chance, self._least_ms, self._most_ms = chance, least_ms, most_ms
        self.machines: dict[str, Machine] = {}
        self._cuts: set[tuple[str, str]] = set()
        self._changed = anyio.Event()
        self._dark: set[str] = set()
        self._numbers = 0
        self.bad: dict[str, tuple[float, float]] = {}  # hosts with bad links: how slow, and which share is lost
        self.links: dict[str, ThinLink] = {}  # hosts whose link carries only so much; all others carry anything at once
        self.watched = ""  # the end of the addresses whose dials are written down
        self.dials: list[DialSeen] = []

    def machine(self, name: str) -> Machine:
        if name not in self.machines:
            self.machines[name] = Machine(name, self.chance.uniform(1e6, 1e9))
        return self.machines[name]

    def cut(self, origin: str, target: str) -> None:
        self._cuts.add((origin, target))

    def heal(self, origin: str, target: str) -> None:
        self._cuts.discard((origin, target))
        self._wake()

    def heal_all(self) -> None:
        self._cuts.clear()
        self._wake()

    def darken(self, name: str) -> None:
        """A machine without power answers nothing, not even with a refusal."""
        self._dark.add(name)

    def lighten(self, name: str) -> None:
        self._dark.discard(name)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def blocked(self, origin: str, target: str) -> bool:
        return (origin, target) in self._cuts or origin in self._dark or target in self._dark

    async def unblocked(self, origin: str, target: str) -> None:
        while self.blocked(origin, target):
            await self._changed.wait()

    def delay_ms(self, *hosts: str) -> float:
        """How long something takes on its way; what is lost is sent again, each time after twice the wait."""
        delay_ms = self.chance.uniform(self._least_ms, self._most_ms)
        slow_ms, lost_share = max((self.bad[host] for host in hosts if host in self.bad), default=(0.0, 0.0))
        again_ms = SIM_AGAIN_MS
        while lost_share and self.chance.random() < lost_share:
            delay_ms, again_ms = delay_ms + again_ms, 2 * again_ms
        return delay_ms + slow_ms

    def carried_ms(self, origin: str, target: str, size: int) -> float:
        """When so many bytes that are sent now have passed the links of both hosts, on the cluster's clock."""
        sent_ms = anyio.current_time() * 1000
        if origin in self.links:
            sent_ms = self.links[origin].pass_out(sent_ms, size)
        arrived_ms = sent_ms + self.delay_ms(origin, target)
        if target in self.links:
            arrived_ms = self.links[target].pass_in(arrived_ms, size)
        return arrived_ms

    def number(self) -> int:
        self._numbers += 1
        return self._numbers

    async def dial(self, origin: Machine, address: str) -> "SimStream":
        """Connect: silent over a cut, refused where nobody listens."""
        target = self.machines.get(host_of(address))
        seen = DialSeen(origin.name, address, anyio.current_time() * 1000)
        if self.watched and address.endswith(self.watched):
            self.dials.append(seen)
        await self.unblocked(origin.name, host_of(address))
        await self.unblocked(host_of(address), origin.name)
        await anyio.sleep(self.delay_ms(origin.name, host_of(address)) / 1000)
        if target is None or address not in target.listeners or target.listeners[address].closed:
            raise ConnectionRefusedError(f"nobody listens at {address}")
        near, far = SimStream(self, origin, target), SimStream(self, target, origin)
        near.peer, far.peer, near.seen = far, near, seen
        target.listeners[address].put(far)
        return near


def host_of(address: str) -> str:
    return address.rpartition(":")[0]


class SimStream(ByteStream):
    """One end of a connection. ``arrivals`` holds what is under way to this end."""

    def __init__(self, net: Net, machine: Machine, other: Machine) -> None:
        self._net, self._machine, self._other = net, machine, other
        self.number = net.number()
        self.peer: SimStream = self
        self._arrivals: deque[tuple[float, bytes]] = deque()
        self._event, self._taken = anyio.Event(), anyio.Event()
        self._closed = False
        self._dead = False  # the process on this end is gone
        self._ended: str = ""  # what the other end did: "eof" or "reset"
        self.seen: DialSeen | None = None
        machine.streams.add(self)

    @property
    def extra_attributes(self) -> dict[Any, Callable[[], Any]]:
        return {}

    @property
    def has_news(self) -> bool:
        """Whether something can be read at once; what is still under way cannot."""
        come = bool(self._arrivals) and self._arrivals[0][0] <= anyio.current_time() * 1000
        return come or bool(self._ended)

    def _notify(self) -> None:
        self._event.set()
        self._event = anyio.Event()

    def arrive(self, data: bytes, ended: str) -> None:
        if data:
            earlier_ms = self._arrivals[-1][0] if self._arrivals else 0.0
            at_ms = max(self._net.carried_ms(self._other.name, self._machine.name, len(data)), earlier_ms)
            self._arrivals.append((at_ms, data))
        self._ended = self._ended or ended
        self._notify()

    async def receive(self, max_bytes: int = 65536) -> bytes:
        while True:
            await self._machine.gate()
            if self._closed or self._dead:
                raise anyio.ClosedResourceError
            if self._ended == "reset" and not self._net.blocked(self._other.name, self._machine.name):
                raise anyio.BrokenResourceError
            if not self._arrivals:
                if self._ended == "eof" and not self._net.blocked(self._other.name, self._machine.name):
                    raise anyio.EndOfStream
                if self._ended:
                    await self._net.unblocked(self._other.name, self._machine.name)
                    continue
                await self._event.wait()
                continue
            at_ms, data = self._arrivals[0]
            left_ms = at_ms - anyio.current_time() * 1000
            if self._net.blocked(self._other.name, self._machine.name):
                await self._net.unblocked(self._other.name, self._machine.name)
            elif left_ms > 0:
                await anyio.sleep(left_ms / 1000)
            else:
                self._arrivals.popleft()
                self._taken.set()
                self._taken = anyio.Event()
                if len(data) > max_bytes:
                    self._arrivals.appendleft((at_ms, data[max_bytes:]))
                return data[:max_bytes]

    async def send(self, item: bytes) -> None:
        await self._machine.gate()
        await anyio.lowlevel.checkpoint()
        if self._closed or self._dead:
            raise anyio.ClosedResourceError
        if self._ended == "reset":
            raise anyio.BrokenResourceError
        if self.seen is not None:
            note_dial(self.seen, bytes(item))
        for segment in self._segments(bytes(item)):
            if not self.peer._closed and not self.peer._dead:
                self.peer.arrive(segment, "")
                await self._room()

    def _segments(self, data: bytes) -> list[bytes]:
        """What is sent at once; over a thin link it arrives bit by bit."""
        if not {self._machine.name, self._other.name} & self._net.links.keys():
            return [data]
        return [data[at : at + SIM_SEGMENT_BYTES] for at in range(0, len(data), SIM_SEGMENT_BYTES)]

    async def _room(self) -> None:
        """Wait while the other end leaves too much unread; the kernel gives it up when it takes nothing for long."""
        while sum(len(data) for _, data in self.peer._arrivals) > SIM_WINDOW_BYTES:
            taken = self.peer._taken
            with anyio.move_on_after(CALLER_STILL_MS / 1000):
                await taken.wait()
            if not taken.is_set():
                self._ended = "reset"
                self.die(silent=False)
                raise anyio.BrokenResourceError

    async def send_eof(self) -> None:
        if not self._closed and not self._dead:
            self.peer.arrive(b"", "eof")

    async def aclose(self) -> None:
        if not self._closed and not self._dead:
            self._closed = True
            self.peer.arrive(b"", "eof")
            self._machine.streams.discard(self)
            self._notify()

    def die(self, silent: bool) -> None:
        self._dead = True
        self._notify()
        if not silent:
            self.peer.arrive(b"", "reset")
