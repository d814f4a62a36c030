"""A stand-in runner of the platform: streams with rising ids, its seal, its refusals, and the ways it can fail.

What reached it and what it ran is written down as it happens, on the one clock of the rehearsal.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import TaskGroup
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from finchswitch.transport import World
from finchswitch.transport.lifespan import answer_lifespan

__all__ = ["Ran", "Reached", "StandInInstance", "time_ms"]


@dataclass
class Ran:
    """One execution of a request, as the runner saw it."""

    attempt: str
    instance: str
    seal: str
    at_ms: float
    words: tuple[str, str, bytes]  # method, target and body
    after: int = 0  # the event behind which it went on
    events: int = 0
    whole: bool = False


@dataclass
class Reached:
    """A request that reached the runner, and the status with which it was turned away; 200 when it was run."""

    attempt: str
    instance: str
    at_ms: float
    status: int


def time_ms() -> float:
    return anyio.current_time() * 1000


@dataclass
class StandInInstance:
    world: World
    service: str
    instance: str
    slots: int = 16
    queue: int = 4
    first_ms: float = 80.0
    event_ms: float = 20.0
    leaving: bool = False
    break_after: int | None = None  # events after which every stream is cut
    ran: list[Ran] = field(default_factory=list)
    reached: list[Reached] = field(default_factory=list)
    _active: int = 0
    _queued: int = 0

    def __post_init__(self) -> None:
        self._free = anyio.Semaphore(self.slots)

    def turn_full(self, slots: int) -> None:
        """From now on it has so few slots."""
        self.slots, self._free = slots, anyio.Semaphore(slots)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            return await answer_lifespan(receive, send)
        request = Request(scope, receive)
        if request.method == "GET" and request.url.path in ("/health", "/api/report"):
            answer = self._health() if request.url.path == "/health" else self._report()
            return await answer(scope, receive, send)
        body = await request.body()
        turned_away = self.turned_away(request.headers)
        attempt = request.headers.get("x-attempt-id", "")
        self.reached.append(Reached(attempt, self.instance, time_ms(), turned_away or 200))
        if turned_away:
            headers = {"x-not-executed": "1", "x-attempt-id": attempt, "retry-after": "0.2"}
            return await Response(b"not executed", turned_away, headers)(scope, receive, send)
        async with anyio.create_task_group() as group:
            group.start_soon(_until_gone, receive, group.cancel_scope)
            await self._run(request, attempt, body, send)
            group.cancel_scope.cancel()

    async def serve(self, address: str, group: TaskGroup) -> None:
        """Serve requests at the address until cancelled."""
        await self.world.serve_http(self, address, anyio.Event())

    def turned_away(self, headers: Mapping[str, str]) -> int:
        """The status of a request that is not run here, or 0."""
        if "x-attempt-id" not in headers:
            return 400
        if headers.get("x-target-instance", self.instance) != self.instance:
            return 421
        return 503 if self._active >= self.slots and self._queued >= self.queue else 0

    async def _run(self, request: Request, attempt: str, body: bytes, send: Any) -> None:
        target = request.scope["raw_path"] + (b"?" + request.scope["query_string"]).rstrip(b"?")
        events = int(request.headers.get("x-token-usage", "0,8").partition(",")[2])
        self._queued += 1
        try:
            await self._free.acquire()
        finally:
            self._queued -= 1
        self._active += 1
        try:
            ran = self.begin(attempt, request.headers, (request.method, target.decode("latin-1"), body))
            await self.world.sleep(self.first_ms)
            await self._stream(ran, events, send)
        finally:
            self._active -= 1
            self._free.release()

    def begin(self, attempt: str, headers: Mapping[str, str], words: tuple[str, str, bytes]) -> Ran:
        """Write down that a request is run from now on."""
        after = int(headers.get("last-event-id", "0"))
        ran = Ran(attempt, self.instance, f"{self.instance}.{len(self.ran)}", time_ms(), words, after)
        self.ran.append(ran)
        return ran

    async def _stream(self, ran: Ran, events: int, send: Any) -> None:
        headers = {"content-type": "text/event-stream", "x-attempt-id": ran.attempt, "x-server-seal": ran.seal}
        headers.update({"connection": "close"} if self.leaving else {})
        raw = [(name.encode(), value.encode()) for name, value in headers.items()]
        await send({"type": "http.response.start", "status": 200, "headers": raw})
        for number in range(ran.after + 1, events + 1):
            if self.break_after is not None and number > self.break_after:
                raise ConnectionResetError("cut on purpose")
            data = f"id: {number}\ndata: {ran.attempt} {number} {self.instance}\n\n".encode()
            await send({"type": "http.response.body", "body": data, "more_body": True})
            ran.events = number
            await self.world.sleep(self.event_ms)
        ran.whole = True
        await send({"type": "http.response.body", "body": b""})

    def _health(self) -> Response:
        return Response(b"", 503 if self.leaving else 200, {"x-instance-id": self.instance})

    def _report(self) -> Response:
        report = {"phase": "combined", "models": [{"name": "m", "revision": 1, "adapters": []}], "utilisation": False}
        numbers = {"call_sequence": 0, "queued": self._queued, "active": self._active, "kv_used": 0, "kv_total": 1}
        return JSONResponse({**report, **numbers, "handles": 0})


async def _until_gone(receive: Any, scope: anyio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()
