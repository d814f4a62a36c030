"""Asking peers over TCP connections that are kept.

A ``Book`` keeps one link a peer address and lane, and matches answers to asks by number. Short asks, by which processes
know of each other that they live, have a lane of their own: behind a configuration of hundreds of kilobytes on a thin
link their answers would come too late. Giving up an ask closes its link only where nothing at all came over it.
"""

import itertools
from dataclasses import dataclass
from enum import Enum

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from finchswitch.constants import ASK_WAIT_MS, DIAL_WAIT_MS
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.logs import prefix
from finchswitch.transport.line import CONNECTION_GONE, Line
from finchswitch.transport.netstring import Message
from finchswitch.transport.shape import field
from finchswitch.transport.world import World

__all__ = ["Book", "Lane", "LinkStatistics"]

_log = prefix("wire")


class Lane(Enum):
    """Which of the connections to a peer an ask goes over."""

    SHORT = "short"  # heartbeats, votes and all else that is small or must not wait
    BULK = "bulk"  # committed state as it is passed down


@dataclass
class LinkStatistics:
    """What went over the links of one process since it started."""

    bytes_read: int = 0
    given_up: int = 0  # links closed since nothing came over them in time


class _Link:
    def __init__(self, line: Line) -> None:
        self.line = line
        self.pending: dict[int, MemoryObjectSendStream[Message]] = {}
        self.open = True
        self._numbers = itertools.count(1)

    def expect(self) -> "_Waiting":
        """A place for the answer to the next ask."""
        number = next(self._numbers)
        send, receive = anyio.create_memory_object_stream[Message](1)
        self.pending[number] = send
        return _Waiting(self, number, receive, self.line.bytes_read)


@dataclass
class _Waiting:
    """An ask whose answer is awaited."""

    link: _Link
    number: int
    receive: MemoryObjectReceiveStream[Message]
    bytes_before: int  # read on the link when the ask was sent
    answer: Message | None = None

    def nothing_came(self) -> bool:
        return self.link.line.bytes_read == self.bytes_before

    async def hear_out(self, stall_ms: float) -> None:
        """Wait on while more comes, if a part of a message has come."""
        line = self.link.line
        while self.answer is None and line.receives():
            before = line.bytes_read
            with anyio.move_on_after(stall_ms / 1000):
                self.answer = await self.receive.receive()
            if line.bytes_read == before:
                return


_Key = tuple[str, Lane]


class Book:
    """The links to all peers asked; ``ask`` is all there is to it."""

    def __init__(self, world: World, group: TaskGroup) -> None:
        self._world, self._group = world, group
        self._links: dict[_Key, _Link] = {}
        self._locks: dict[_Key, anyio.Lock] = {}
        self.statistics = LinkStatistics()

    async def ask(
        self,
        address: str,
        kind: str,
        body: Message,
        wait_ms: float = ASK_WAIT_MS,
        lane: Lane = Lane.SHORT,
        stall_ms: float | None = None,
    ) -> Message:
        """Send one ask and return its answer; a FleetError SILENT means that its fate is open.

        With ``stall_ms``, an answer of which a part came within ``wait_ms`` is awaited as long as more of it comes, at
        most ``stall_ms`` apart.
        """
        step, key = f"ask {kind}", (address, lane)
        waiting: _Waiting | None = None
        try:
            with anyio.move_on_after(wait_ms / 1000):
                link = await self._link(key, step)
                waiting = link.expect()
                await link.line.send({"kind": kind, "number": waiting.number, "body": body})
                waiting.answer = await waiting.receive.receive()
            if waiting is not None and waiting.answer is None and stall_ms is not None:
                await waiting.hear_out(stall_ms)
        except anyio.EndOfStream:
            raise FleetError(ErrorKind.SILENT, step, address, "connection lost") from None
        finally:
            if waiting is not None:
                self._end(key, waiting)
        if waiting is None or waiting.answer is None:
            if waiting is not None and waiting.nothing_came():
                self._give_up(key, waiting.link)
            raise FleetError(ErrorKind.SILENT, step, address, f"no answer in {wait_ms:.0f} ms")
        if "mishap" in waiting.answer:
            raise FleetError(ErrorKind.REFUSED, step, address, str(waiting.answer["mishap"]))
        content: Message = field(waiting.answer, "body", dict, address)
        return content

    def receives(self, address: str, lane: Lane) -> bool:
        """Whether a part of a message from the peer has come over that lane, and not yet the whole."""
        link = self._links.get((address, lane))
        return link is not None and link.line.receives()

    def _end(self, key: _Key, waiting: "_Waiting") -> None:
        """Forget an ask. An unanswered one of the bulk lane closes its link: what still comes on it is for nobody."""
        waiting.link.pending.pop(waiting.number, None)
        if waiting.answer is None and key[1] is Lane.BULK:
            self._close(key, waiting.link)

    def _give_up(self, key: _Key, link: _Link) -> None:
        """Close a link over which nothing came in time; where anything came, it is left to the other asks."""
        self.statistics.given_up += 1
        self._close(key, link)

    def _close(self, key: _Key, link: _Link) -> None:
        """Close a link from this end, which also ends the task that reads it."""
        self._drop(key, link)
        self._group.start_soon(anyio.aclose_forcefully, link.line.stream)

    def _drop(self, key: _Key, link: _Link) -> None:
        link.open = False
        if self._links.get(key) is link:
            del self._links[key]
        for waiting in link.pending.values():
            waiting.close()

    async def _link(self, key: _Key, step: str) -> _Link:
        address = key[0]
        async with self._locks.setdefault(key, anyio.Lock()):
            link = self._links.get(key)
            if link is not None:
                return link
            try:
                stream = await self._world.dial(address, DIAL_WAIT_MS)
            except ConnectionRefusedError:
                raise FleetError(ErrorKind.REFUSED, step, address, "connection refused") from None
            except (OSError, TimeoutError):
                raise FleetError(ErrorKind.SILENT, step, address, "cannot connect") from None
            link = self._links[key] = _Link(Line(stream, address, self._world.formats))
            self._group.start_soon(self._read, key, link)
            return link

    async def _read(self, key: _Key, link: _Link) -> None:
        address = key[0]
        try:
            while link.open:
                answer = await link.line.next()
                if answer is None:
                    return
                link.line.check(answer)
                waiting = link.pending.pop(field(answer, "number", int, address), None)
                if waiting is not None:
                    waiting.send_nowait(answer)
        except FleetError as error:
            _log.warning("Closed a link. {}", error)
        except CONNECTION_GONE:
            pass
        finally:
            self.statistics.bytes_read += link.line.bytes_read
            self._drop(key, link)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(link.line.stream)
