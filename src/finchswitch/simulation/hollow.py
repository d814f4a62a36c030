"""A hollow scale run: many nodes that only keep their place, in one process and in virtual time, before real councils.

A hollow node has a real member, news book and follower and beats with an empty word; it reads no list, has no duties
and serves nobody. So its messages are the floor of what a node of today's design sends. Time is virtual and says what
the tempos and the tree give; what it costs a processor is only this process's, with the wire in memory.
"""

import time
from collections import Counter
from dataclasses import dataclass
from random import Random
from typing import Any

import anyio
import trio
from anyio.abc import ByteStream, TaskGroup
from trio.testing import MockClock

from finchswitch.bounds import Bounds
from finchswitch.constants import CONFIGURATION_PART, FOLLOW_HOLD_MS, PEER_BEAT_MS
from finchswitch.control.changes import take_change
from finchswitch.control.control_node import ControlNode
from finchswitch.control.server import run_control_node
from finchswitch.distribution import NewsBook
from finchswitch.distribution.follow import Follower
from finchswitch.logs import prefix
from finchswitch.membership.member import Member
from finchswitch.programs.startup import Startup
from finchswitch.simulation.disk import SimDisk
from finchswitch.simulation.machine import Machine
from finchswitch.simulation.network import Net, SimStream
from finchswitch.simulation.world import SimWorld
from finchswitch.transport import GONE, Asked, Book, Message, serve_asks, settle

__all__ = ["HollowRun", "run_hollow"]

_log = prefix("hollow")
_LOOK_MS = 1.0


@dataclass(frozen=True)
class HollowRun:
    nodes: int
    controls: int = 3
    zones: int = 7
    settle_s: float = 5.0
    watch_s: float = 4.0
    changes: int = 3
    seed: int = 1
    peers_most: int | None = None  # None beats every peer
    digest_beat_ms: float = PEER_BEAT_MS
    follow_hold_ms: float = FOLLOW_HOLD_MS

    def bounds(self) -> Bounds:
        return Bounds(
            peers_most=self.peers_most, digest_beat_ms=self.digest_beat_ms, follow_hold_ms=self.follow_hold_ms
        )


class _CountedNet(Net):
    """A net that counts the messages and bytes that each machine sends."""

    def __init__(self, chance: Random) -> None:
        super().__init__(chance)
        self.messages: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()

    async def dial(self, origin: Machine, address: str) -> SimStream:
        near = await super().dial(origin, address)
        for stream, machine in ((near, origin), (near.peer, self.machines[address.rpartition(":")[0]])):
            setattr(stream, "send", self._counting(stream, machine.name))  # noqa: B010
        return near

    def _counting(self, stream: ByteStream, name: str) -> Any:
        send = stream.send

        async def counted(item: bytes) -> None:
            self.messages[name] += 1
            self.bytes[name] += len(item)
            await send(item)

        return counted


class _HollowNode:
    """A node's place among the others, and nothing else; it is its own empty word."""

    def __init__(self, world: SimWorld, startup: Startup, group: TaskGroup) -> None:
        self.group, self._world, self._startup = group, world, startup
        book, self.news = Book(world, group), NewsBook()
        card = {"name": startup.name, "address": startup.address, "http": startup.http, "district": startup.district}
        card["incarnation"] = world.chance.randbytes(6).hex()
        self.member = Member(world, book, self.news, card, startup.seeds, startup.bounds)
        self.follower = Follower(world, book, self.news, self.member, startup.bounds.follow_hold_ms)

    def speak(self) -> Message:
        empty: Message = {name: {} for name in ("burden", "held", "pace", "counts", "vitals")}
        return {**empty, "leaving": [], "listAgeMs": 0.0, "listMark": ""}

    def digest(self) -> Message:
        return {"burden": {}, "counts": {}}

    def hear(self, beat: Message, since_ms: float) -> None:
        """An empty word tells nothing."""

    def hear_control(self, since_ms: float) -> None:
        """Nothing but news is of interest here."""
        self.follower.look()

    async def run(self) -> None:
        async with serve_asks(self._world, self._startup.address, self.group) as inbox:
            self.group.start_soon(self.member.keep_session, self)
            self.group.start_soon(self.member.beat_peers, self)
            self.group.start_soon(self.follower.follow)
            async for asked in inbox:
                if asked.kind != GONE:
                    self.group.start_soon(settle, asked, self._answer(asked), _log)

    async def _answer(self, asked: Asked) -> Message:
        if asked.kind == "peer.beat":
            self.member.meet_peer(asked.body)
            return {**self.member.word(self), "list": []}
        if asked.kind == "news.follow":
            return await self.news.answer_follower(asked.body, asked.peer)
        return {"plane": "routing", "controls": self.member.controls.known()}


async def _perform(run: HollowRun) -> dict[str, Any]:
    chance = Random(run.seed)
    net = _CountedNet(Random(chance.random()))
    seeds = [f"10.0.9.{at}:7100" for at in range(1, 4)]
    async with anyio.create_task_group() as group:

        def world(host: str) -> SimWorld:
            return SimWorld(net, net.machine(host), chance.getrandbits(32))

        def startup(name: str, host: str, zone: int) -> Startup:
            place = (f"{host}:7100", f"{host}:8000", f"zone-{zone}")
            return Startup(name, *place, seeds, bounds=run.bounds())

        councils, nodes = [], []
        for at in range(run.controls):
            host = f"10.0.9.{at + 1}"
            disk = SimDisk(net.machine(host))
            councils.append(ControlNode(world(host), disk, startup(f"accord-{at}", host, at % run.zones), group))
            group.start_soon(run_control_node, councils[-1])
        for at in range(run.nodes):
            host = f"10.1.{at // 250}.{at % 250}"
            nodes.append(_HollowNode(world(host), startup(f"transit-{at:03d}", host, at % run.zones), group))
            group.start_soon(nodes[-1].run)
        await anyio.sleep(run.settle_s)
        net.messages.clear()
        net.bytes.clear()
        began_s = time.process_time()
        await anyio.sleep(run.watch_s)
        processor_s = time.process_time() - began_s
        rates = _rates(net, run)
        delays_ms = [await _deliver(councils[0], nodes, at) for at in range(run.changes)]
        listed = sorted(len(node.member.members) for node in nodes)
        group.cancel_scope.cancel()
    return {
        "nodes": run.nodes,
        **rates,
        "inForceMs": delays_ms,
        "fewestListed": listed[0],
        "processorMsPerNodeAndS": round(processor_s * 1000 / run.watch_s / (run.nodes + run.controls), 2),
    }


def _rates(net: _CountedNet, run: HollowRun) -> dict[str, float]:
    """What a node and a control node send, on the mean of all and of the time watched."""
    shown: dict[str, float] = {}
    for kind, begins, count in (("node", "10.1.", run.nodes), ("control", "10.0.9.", run.controls)):
        for what, counter in (("Messages", net.messages), ("Bytes", net.bytes)):
            total = sum(sent for host, sent in counter.items() if host.startswith(begins))
            shown[f"{kind}{what}PerS"] = round(total / count / run.watch_s, 1)
    return shown


async def _deliver(control: ControlNode, nodes: list[_HollowNode], at: int) -> float:
    """How long after it was sent a change is held by every node."""
    began_ms, generation = control.world.now_ms(), control.news.generation(CONFIGURATION_PART)
    services = {f"model-{number}": {"listed": True} for number in range(at + 1)}
    change = {"changeId": f"hollow-{at}", "base": generation, "configuration": {"services": services}}
    answered: list[Message] = []

    async def send() -> None:
        answered.append(await take_change(control, change))

    async with anyio.create_task_group() as group:
        group.start_soon(send)
        with anyio.fail_after(20):
            while any(node.news.generation(CONFIGURATION_PART) <= generation for node in nodes):
                await control.world.sleep(_LOOK_MS)
        in_force_ms = control.world.now_ms() - began_ms
    return round(in_force_ms, 1)


def run_hollow(run: HollowRun) -> dict[str, Any]:
    """One run's figures; the same seed gives the same, but for the processor's."""
    setattr(trio._core._run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)  # noqa: B010
    trio._core._run._r.seed(run.seed)
    return anyio.run(_perform, run, backend="trio", backend_options={"clock": MockClock(autojump_threshold=0)})
