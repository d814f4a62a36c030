"""A link of its own address in front of a control node's internal port; it can reset the connections on it."""

import asyncio
import random
import socket
import struct

from fleet import INTERNAL, Record

__all__ = ["Link"]

_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close sends a reset


class Link:
    """Passes every connection on to the target; while ``share`` is above 0, so many of them are reset."""

    def __init__(self, record: Record, host: str, target: str, chance: random.Random) -> None:
        self.record, self.host, self.target, self._chance = record, host, target, chance
        self.share, self.resets = 0.0, 0
        self._open: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        self._server: asyncio.Server | None = None

    async def serve(self) -> None:
        self._server = await asyncio.start_server(self._carry, self.host, INTERNAL)

    def begin_resets(self, share: float) -> None:
        """Reset a share of the connections that stand, and from now on of those that come."""
        self.share = share
        for pair in list(self._open):
            if self._chance.random() < share:
                self._reset(pair, "a standing connection")

    def end_resets(self) -> None:
        self.share = 0.0

    def _reset(self, pair: tuple[asyncio.StreamWriter, asyncio.StreamWriter], what: str) -> None:
        self.resets += 1
        self.record(f"link {self.host} to {self.target}: {what} is reset")
        for writer in pair:
            raw = writer.get_extra_info("socket")
            if raw is not None and raw.fileno() >= 0:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            writer.transport.abort()

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            there, back = await asyncio.open_connection(self.target, INTERNAL)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, back)
        if self._chance.random() < self.share:
            self._reset(pair, "a new connection")
            return
        self._open.add(pair)
        try:
            await asyncio.gather(_pass(reader, back), _pass(there, writer))
        except asyncio.CancelledError:
            pass
        finally:
            self._open.discard(pair)


async def _pass(source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
    try:
        while data := await source.read(65536):
            sink.write(data)
            await sink.drain()
    except (ConnectionError, asyncio.CancelledError):
        pass
    finally:
        sink.close()
