"""Asking and answering over one TCP connection to a peer.

A ``Book`` keeps one link a peer address and matches answers to asks by number. ``serve_asks`` is the other
end: it puts each ask into a memory stream, from which the program's own loop takes it. A frame of the wrong
shape closes that one connection and is logged.
"""

import itertools
from collections.abc import AsyncIterator, Awaitable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from typing import Any

import anyio
from anyio.abc import ByteStream, TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from returns.primitives.exceptions import UnwrapFailedError

from finchswitch.constants import ASK_WAIT_MS, DIAL_WAIT_MS, INBOX_MOST
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.logs import prefix
from finchswitch.transport.line import CONNECTION_GONE, Line
from finchswitch.transport.netstring import Message
from finchswitch.transport.world import World

__all__ = ["GONE", "Asked", "Book", "field", "reading", "serve_asks", "settle"]

GONE = "gone"  # the kind under which a closed connection is told to the program's loop

_log = prefix("wire")


def field(body: Message, name: str, kind: type | tuple[type, ...], peer: str = "peer") -> Any:
    """A field of a message, checked for its type.

    >>> field({"part": "creed"}, "part", str)
    'creed'
    """
    value = body.get(name)
    if not isinstance(value, kind):
        raise FleetError(ErrorKind.BROKEN, "shape", peer, f"field {name} missing or of the wrong type")
    return value


@contextmanager
def reading(step: str, peer: str) -> Iterator[None]:
    """What a peer sent is being read: a wrong shape anywhere in it is the peer's error, not an end of this process."""
    try:
        yield
    except (LookupError, TypeError, ValueError, AttributeError, UnwrapFailedError) as wrong:
        raise FleetError(ErrorKind.BROKEN, step, peer, f"not of the agreed shape: {wrong!r}") from None


class _Link:
    def __init__(self, line: Line) -> None:
        self.line = line
        self.numbers = itertools.count(1)
        self.pending: dict[int, MemoryObjectSendStream[Message]] = {}
        self.received = 0
        self.open = True


class Book:
    """One link for each peer asked; ``ask`` is all there is to it."""

    def __init__(self, world: World, group: TaskGroup) -> None:
        self._world, self._group = world, group
        self._links: dict[str, _Link] = {}
        self._locks: dict[str, anyio.Lock] = {}

    async def ask(self, address: str, kind: str, body: Message, wait_ms: float = ASK_WAIT_MS) -> Message:
        """Send one ask and return its answer; a FleetError SILENT means that its fate is open."""
        step = f"ask {kind}"
        with anyio.move_on_after(wait_ms / 1000) as scope:
            link = await self._link(address, step)
            number = next(link.numbers)
            send, receive = anyio.create_memory_object_stream[Message](1)
            link.pending[number], before = send, link.received
            answered = False
            try:
                await link.line.send({"kind": kind, "number": number, "body": body})
                answer = await receive.receive()
                answered = True
            except anyio.EndOfStream:
                answered = True
                raise FleetError(ErrorKind.SILENT, step, address, "connection lost") from None
            finally:
                link.pending.pop(number, None)
                if not answered and link.received == before and scope.cancel_called:
                    self._drop(address, link)  # silent; one who only gave up asking leaves the link to the others
            if "mishap" in answer:
                raise FleetError(ErrorKind.REFUSED, step, address, str(answer["mishap"]))
            content: Message = field(answer, "body", dict, address)
            return content
        raise FleetError(ErrorKind.SILENT, step, address, f"no answer in {wait_ms:.0f} ms")

    def _drop(self, address: str, link: _Link) -> None:
        link.open = False
        if self._links.get(address) is link:
            del self._links[address]
        for waiting in link.pending.values():
            waiting.close()

    async def _link(self, address: str, step: str) -> _Link:
        async with self._locks.setdefault(address, anyio.Lock()):
            link = self._links.get(address)
            if link is not None:
                return link
            try:
                stream = await self._world.dial(address, DIAL_WAIT_MS)
            except ConnectionRefusedError:
                raise FleetError(ErrorKind.REFUSED, step, address, "connection refused") from None
            except (OSError, TimeoutError):
                raise FleetError(ErrorKind.SILENT, step, address, "cannot connect") from None
            link = self._links[address] = _Link(Line(stream, address, self._world.formats))
            self._group.start_soon(self._read, address, link)
            return link

    async def _read(self, address: str, link: _Link) -> None:
        try:
            while link.open:
                answer = await link.line.next()
                if answer is None:
                    return
                link.line.check(answer)
                link.received += 1
                waiting = link.pending.pop(field(answer, "number", int, address), None)
                if waiting is not None:
                    waiting.send_nowait(answer)
        except FleetError as error:
            _log.warning("Closed a link. {}", error)
        except CONNECTION_GONE:
            pass
        finally:
            self._drop(address, link)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(link.line.stream)


@dataclass
class Asked:
    """An ask that arrived, with the way back."""

    kind: str
    body: Message
    peer: str
    _number: int
    _line: Line

    async def answer(self, body: Message) -> None:
        await self._send({"number": self._number, "body": body})

    async def refuse(self, reason: str) -> None:
        await self._send({"number": self._number, "mishap": reason})

    async def close(self) -> None:
        await anyio.aclose_forcefully(self._line.stream)

    async def _send(self, message: Message) -> None:
        try:
            await self._line.send(message)
        except FleetError as error:
            _log.debug("An answer found nobody. {}", error)


async def settle(asked: Asked, answering: Awaitable[Message], log: Any) -> None:
    """Answer an ask with what a handler gives, refuse it, or close its connection when its shape is wrong."""
    try:
        await asked.answer(await answering)
    except FleetError as error:
        log.info("Refused {}. {}", asked.kind, error)
        await (asked.close() if error.kind is ErrorKind.BROKEN else asked.refuse(str(error)))
    except (LookupError, TypeError, ValueError, AttributeError) as wrong:
        log.warning("Closed {} for a message of the wrong shape: {} {!r}.", asked.peer, asked.kind, wrong)
        await asked.close()


async def _read_asks(
    stream: ByteStream, peer: str, inbox: MemoryObjectSendStream[Asked], formats: tuple[int, int]
) -> None:
    line = Line(stream, peer, formats)
    try:
        while (message := await line.next()) is not None:
            try:
                line.check(message)
            except FleetError as error:
                _log.error("A newer process is kept out. {}", error)
                await line.send({"number": message.get("number"), "mishap": str(error)})
                break
            number, kind = field(message, "number", int, peer), field(message, "kind", str, peer)
            if kind == GONE:
                raise FleetError(ErrorKind.BROKEN, "shape", peer, "a kind that no peer may send")
            await inbox.send(Asked(kind, field(message, "body", dict, peer), peer, number, line))
    except FleetError as error:
        _log.warning("Closed a connection. {}", error)
    except CONNECTION_GONE:
        pass
    finally:
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)
    await inbox.send(Asked(GONE, {}, peer, 0, line))


@asynccontextmanager
async def serve_asks(world: World, address: str, group: TaskGroup) -> AsyncIterator[MemoryObjectReceiveStream[Asked]]:
    """Listen at the address; yields the stream on which asks arrive."""
    send, receive = anyio.create_memory_object_stream[Asked](INBOX_MOST)
    listener = await world.listen(address)

    async def accept() -> None:
        while True:
            try:
                stream, peer = await listener.accept()
            except CONNECTION_GONE:
                return
            group.start_soon(_read_asks, stream, peer, send, world.formats)

    group.start_soon(accept)
    try:
        yield receive
    finally:
        with anyio.CancelScope(shield=True):
            await listener.aclose()
