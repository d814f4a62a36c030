"""A stand-in runner that spoils a share of its answers in every way that the platform's pages name.

It writes its bytes itself, as an HTTP library would refuse to send most of this. What it ran is written down as by any
other stand-in, so that a history with it is judged by the same checks.
"""

from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from enum import Enum
from random import Random

import anyio
from anyio.abc import TaskGroup

from finchswitch.platform.stand_in import Ran, Reached, StandInInstance, time_ms
from finchswitch.simulation.network import SimStream
from finchswitch.simulation.scripted_runner import Received, requests_of

__all__ = ["Spoiled", "UnrulyInstance"]

_LATE_MS = (1.0, 120.0)
_GARBAGE = b"\x16\x03\x01\xff no HTTP\r\n\r\n"
_GONE = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream)


class Spoiled(Enum):
    """How an answer is spoiled."""

    OTHER_BEHIND = "another's answer behind it"
    NAMELESS_BEHIND = "an answer without an id behind it"
    OTHER_LATE = "another's answer some time behind it"
    NAMELESS_LATE = "an answer without an id some time behind it"
    OTHER_BEFORE = "another's answer in its place"
    NAMELESS_BEFORE = "an answer without an id in its place"
    REFUSED_BEFORE = "a refusal without an id in its place"
    LOST_CLOSED = "closed instead of answered"
    LOST_RESET = "reset instead of answered"
    LOST_MUTE = "never answered"
    CUT_CLOSED = "closed in the stream"
    CUT_RESET = "reset in the stream"
    GARBAGE_BEFORE = "bytes that are no HTTP before it"
    GARBAGE_WITHIN = "bytes that are no HTTP in it"
    GARBAGE_BEHIND = "bytes that are no HTTP behind it"
    FORGOTTEN = "the connection is reset by the next request on it"
    UNREAD = "reset before the request is run"


@dataclass
class UnrulyInstance(StandInInstance):
    chance: Random = field(default_factory=Random)
    share: float = 0.3  # of the answers that are spoiled
    kinds: tuple[Spoiled, ...] = tuple(Spoiled)
    spoiled: list[tuple[str, Spoiled]] = field(default_factory=list)
    _earlier: list[bytes] = field(default_factory=list)  # whole answers without their heads' first lines
    _nameless: list[bytes] = field(default_factory=list)

    async def serve(self, address: str, group: TaskGroup) -> None:
        listener = await self.world.listen(address)
        while True:
            stream, _ = await listener.accept()
            assert isinstance(stream, SimStream)
            group.start_soon(self._serve_connection, stream)

    async def _serve_connection(self, stream: SimStream) -> None:
        forgotten = False
        try:
            async for received in requests_of(stream):
                spoiled = self.chance.choice(self.kinds) if self.chance.random() < self.share else None
                if forgotten or spoiled is Spoiled.UNREAD:
                    return stream.die(silent=False)
                forgotten = spoiled is Spoiled.FORGOTTEN
                await self._answer(stream, received, spoiled)
        except _GONE:
            pass

    async def _answer(self, stream: SimStream, received: Received, spoiled: Spoiled | None) -> None:
        attempt = received.headers.get("x-attempt-id", "")
        turned_away = self.turned_away(received.headers)
        self.reached.append(Reached(attempt, self.instance, time_ms(), turned_away or 200))
        if turned_away:
            return await stream.send(_head(turned_away, [("X-Attempt-Id", attempt), ("X-Not-Executed", "1")], length=0))
        if spoiled is not None:
            self.spoiled.append((attempt, spoiled))
        self._active += 1
        try:
            await self._run_spoiled(stream, received, attempt, spoiled)
        finally:
            self._active -= 1

    async def _run_spoiled(self, stream: SimStream, received: Received, attempt: str, spoiled: Spoiled | None) -> None:
        ran = self.begin(attempt, received.headers, ("POST", received.target, received.body))
        before = self._before(spoiled)
        if before:
            await self.world.sleep(self.chance.uniform(*_LATE_MS))
            await stream.send(before)
        await self.world.sleep(self.first_ms)
        if spoiled is Spoiled.LOST_MUTE:
            return await anyio.sleep_forever()
        if spoiled is Spoiled.LOST_CLOSED:
            return await stream.aclose()
        if spoiled is Spoiled.LOST_RESET:
            return stream.die(silent=False)
        async for part in self._parts(ran, int(received.headers.get("x-token-usage", "0,8").partition(",")[2])):
            if ran.events == 3 and spoiled in (Spoiled.CUT_CLOSED, Spoiled.CUT_RESET):
                return await stream.aclose() if spoiled is Spoiled.CUT_CLOSED else stream.die(silent=False)
            if ran.events == 3 and spoiled is Spoiled.GARBAGE_WITHIN:
                return await stream.send(_GARBAGE)
            await stream.send(part)
        await self._send_behind(stream, spoiled)

    def _before(self, spoiled: Spoiled | None) -> bytes:
        if spoiled is Spoiled.OTHER_BEFORE and self._earlier:
            return self.chance.choice(self._earlier)
        if spoiled is Spoiled.NAMELESS_BEFORE and self._nameless:
            return self.chance.choice(self._nameless)
        if spoiled is Spoiled.REFUSED_BEFORE:
            return _head(503, [("X-Not-Executed", "1")], length=0)
        return _GARBAGE if spoiled is Spoiled.GARBAGE_BEFORE else b""

    async def _send_behind(self, stream: SimStream, spoiled: Spoiled | None) -> None:
        if spoiled is Spoiled.GARBAGE_BEHIND:
            return await stream.send(_GARBAGE)
        late = spoiled in (Spoiled.OTHER_LATE, Spoiled.NAMELESS_LATE)
        nameless = spoiled in (Spoiled.NAMELESS_LATE, Spoiled.NAMELESS_BEHIND)
        kept = self._nameless if nameless else self._earlier
        if kept and (late or nameless or spoiled is Spoiled.OTHER_BEHIND):
            if late:
                await self.world.sleep(self.chance.uniform(*_LATE_MS))
            await stream.send(self.chance.choice(kept))

    async def _parts(self, ran: Ran, events: int) -> AsyncGenerator[bytes, None]:
        """The answer as it goes out, event by event; the last one with the end of the body, in one send."""
        headers = [("Content-Type", "text/event-stream"), ("X-Server-Seal", ran.seal)]
        named, body = _head(200, [*headers, ("X-Attempt-Id", ran.attempt)]), b""
        yield named
        for number in range(ran.after + 1, events + 1):
            data = f"id: {number}\ndata: {ran.attempt} {number} {self.instance}\n\n".encode()
            chunk = f"{len(data):x}\r\n".encode() + data + b"\r\n"
            chunk += b"0\r\n\r\n" if number == events else b""
            body += chunk
            yield chunk
            ran.events = number
            await self.world.sleep(self.event_ms)
        ran.whole = True
        self._earlier.append(named + body)
        self._nameless.append(_head(200, headers) + body)


def _head(status: int, headers: list[tuple[str, str]], length: int | None = None) -> bytes:
    framing = ("Transfer-Encoding", "chunked") if length is None else ("Content-Length", str(length))
    lines = "".join(f"{name}: {value}\r\n" for name, value in [*headers, framing])
    return f"HTTP/1.1 {status} Any\r\n{lines}\r\n".encode("latin-1")
