"""The callers of a soak: each keeps its connection as long as it may, and every request is accounted for.

A caller that is told to close a connection opens the next one at the same node for as long as that node listens, or,
if it is of the other kind, where the platform hands it. So stopping nodes meet requests until their processes are gone.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Any

import anyio
import h11
from anyio.abc import ByteStream

from finchswitch.platform.soak.plan import EVENTS_OF_ANSWERS
from finchswitch.platform.stand_in import time_ms
from finchswitch.platform.stand_in_clients import Asked, read_events, request_head
from finchswitch.platform.stand_in_settings import FRONT_PORT

__all__ = ["Caller", "Outcome", "Request"]

_CONNECT_S = 1.0
_PAUSE_S = 0.15  # after a failure or a refusal
_READ_BYTES = 65_536
_BROKEN = (anyio.BrokenResourceError, anyio.ClosedResourceError, h11.RemoteProtocolError)


class Outcome(Enum):
    WHOLE = "whole"
    REFUSED = "refused"  # 429 or 503: it has not run and never will
    FAILED = "failed"  # any other answer that is no success
    BROKEN = "broken"  # cut behind its head
    SILENT = "silent"  # the connection ended without an answer
    OVERDUE = "overdue"  # no end by the deadline
    UNSENT = "unsent"  # no connection came up


@dataclass
class Request(Asked):
    """One try, with what became of it."""

    outcome: Outcome = Outcome.UNSENT
    is_kept: bool = False  # its connection had carried another before
    sent_ms: float = 0.0

    def settle(self) -> None:
        """Name the outcome of a request that has ended."""
        if "deadline" in self.reason:
            self.outcome = Outcome.OVERDUE
        elif self.status == 0:
            self.outcome = Outcome.SILENT
        elif self.whole:
            self.outcome = Outcome.WHOLE
        elif self.status == 200:
            self.outcome = Outcome.BROKEN
        else:
            self.outcome = Outcome.REFUSED if self.status in (429, 503) else Outcome.FAILED


class Caller:
    """One caller: a request at a time, on a connection that it keeps."""

    def __init__(
        self, chance: Random, desk: Any, routes: list[dict[str, Any]], log: list[Request], stays: bool
    ) -> None:
        self._chance, self._desk, self._routes, self._log, self._stays = chance, desk, routes, log, stays
        self._stream: ByteStream | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._node, self._carried = "", 0

    async def call_until(self, until_ms: float, deadline_ms: int) -> None:
        """Ask again and again; the last request is awaited to its end."""
        while time_ms() < until_ms:
            request = self._next_request()
            if self._stream is not None or await self._connect():
                request.node, request.is_kept = self._node, self._carried > 0
                await self._ask(request, deadline_ms)
            self._log.append(request)
            calm = request.outcome is Outcome.WHOLE
            await anyio.sleep(self._chance.uniform(0, 0.1) if calm else _PAUSE_S)
        await self._close()

    def _next_request(self) -> Request:
        attempt = f"{self._chance.getrandbits(64):016x}"
        events = self._chance.randint(*self._chance.choice(EVENTS_OF_ANSWERS))
        return Request(attempt, self._chance.choice(self._routes), "", events, time_ms(), f"body of {attempt}".encode())

    async def _connect(self) -> bool:
        if not (self._stays and self._node):
            self._node = self._desk.hand(self._chance.choice(["hill", "lake"])) or ""
        if not self._node:
            return False
        host = self._desk.nodes[self._node][0].rpartition(":")[0]
        try:
            with anyio.fail_after(_CONNECT_S):
                self._stream = await anyio.connect_tcp(host, FRONT_PORT)
        except (OSError, TimeoutError):
            self._node = ""
            return False
        self._http, self._carried = h11.Connection(h11.CLIENT), 0
        return True

    async def _close(self) -> None:
        if self._stream is not None:
            with anyio.CancelScope(shield=True):
                await self._stream.aclose()
        self._stream = None

    async def _ask(self, request: Request, deadline_ms: int) -> None:
        text = b""
        try:
            with anyio.fail_after(deadline_ms / 1000):
                await self._send(request, deadline_ms)
                async for part in self._answer(request):
                    text += part
            request.whole = request.status < 300
        except TimeoutError:
            request.reason = "no end by the deadline"
        except _BROKEN as error:
            request.reason = repr(error)
        request.end_ms = time_ms()
        request.settle()
        request.got = read_events(text) if request.status == 200 else []
        if request.status >= 300:
            request.reason = request.reason or text.decode()
        await self._recycle(request)

    async def _send(self, request: Request, deadline_ms: int) -> None:
        assert self._stream is not None
        target, headers = request_head(request, deadline_ms)
        headers["content-length"] = str(len(request.body))
        parts = [
            self._http.send(h11.Request(method="POST", target=target, headers=list(headers.items()))),
            self._http.send(h11.Data(request.body)),
            self._http.send(h11.EndOfMessage()),
        ]
        request.sent_ms = time_ms()
        await self._stream.send(b"".join(part for part in parts if part))

    async def _answer(self, request: Request) -> AsyncIterator[bytes]:
        assert self._stream is not None
        while not isinstance(event := self._http.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._read())
            elif isinstance(event, h11.Response):
                request.status = event.status_code
                request.headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
            elif isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.ConnectionClosed):
                raise anyio.BrokenResourceError

    async def _read(self) -> bytes:
        assert self._stream is not None
        try:
            return await self._stream.receive(_READ_BYTES)
        except anyio.EndOfStream:
            return b""

    async def _recycle(self, request: Request) -> None:
        """Keep the connection where that is allowed."""
        self._carried += 1
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            await self._close()
