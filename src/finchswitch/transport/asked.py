"""The answering end of asks: each ask that arrives is put into a memory stream, from which the program's loop takes it.

A frame of the wrong shape closes that one connection and is logged.
"""

from collections.abc import AsyncIterator, Awaitable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import anyio
from anyio.abc import ByteStream, TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from finchswitch.constants import INBOX_MOST
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.logs import prefix
from finchswitch.transport.line import CONNECTION_GONE, Line
from finchswitch.transport.netstring import Message
from finchswitch.transport.shape import field
from finchswitch.transport.world import World

__all__ = ["GONE", "Asked", "serve_asks", "settle"]

GONE = "gone"  # the kind under which a closed connection is told to the program's loop

_log = prefix("wire")


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
