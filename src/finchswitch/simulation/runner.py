"""A stand-in runner: slots, prefill, a prefix cache by memory, late vitals, and the ways in which it can fail.

It speaks the published forms that real ones do: OpenAI's streamed chat completions, Prometheus text with vLLM's
names for vitals. What it ran is written down as it happens, so that a history can be checked afterwards.
"""

import json
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any, TextIO

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from finchswitch.affinity import opening_of
from finchswitch.transport import World

__all__ = ["StandInRunner", "Traits"]


@dataclass
class Traits:
    """How a stand-in runner behaves."""

    slots: int = 50
    prefill_tokens_per_s: float = 8_000.0
    piece_ms: float = 20.0
    cache_tokens: int = 60_000
    vitals_late_ms: float = 2_000.0
    weights: str = "w1"


@dataclass
class Run:
    """One execution, as the runner saw it."""

    request_id: str
    runner: str
    incarnation: str
    at_ms: float
    prefill_tokens: int
    cached: bool
    pieces: int = 0
    whole: bool = False
    service: str = ""


@dataclass
class StandInRunner:
    world: World
    runner: str
    incarnation: str
    traits: Traits = field(default_factory=Traits)
    runs: list[Run] = field(default_factory=list)
    refusing: bool = False
    refusals: list[tuple[str, float]] = field(default_factory=list)
    break_after: int | None = None  # pieces after which streams are cut
    proof_ms: float = 0.0  # how long it takes to say who it is
    log: TextIO | None = None  # where runs are written down as they happen, for a process that may be killed
    lie: str = ""  # "identity" or "request": answer under a foreign name; "skip" or "twice": the second piece

    def __post_init__(self) -> None:
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._slots = anyio.Semaphore(self.traits.slots)
        self._prefill = anyio.Lock()
        self._running = 0
        self._past: list[tuple[float, int]] = []

    def write_down(self, record: dict[str, Any]) -> None:
        if self.log is not None:
            self.log.write(json.dumps(record) + "\n")
            self.log.flush()

    def app(self) -> Starlette:
        return Starlette(
            routes=[
                Route("/identity", self._identity),
                Route("/metrics", self._metrics),
                Route("/v1/chat/completions", _Completions(self), methods=["POST"]),
            ]
        )

    async def _identity(self, request: Request) -> Response:
        await self.world.sleep(self.proof_ms)
        return JSONResponse({"runner": self.runner, "incarnation": self.incarnation})

    async def _metrics(self, request: Request) -> Response:
        now_ms = self.world.now_ms()
        late = [count for at_ms, count in self._past if now_ms - at_ms >= self.traits.vitals_late_ms]
        used = sum(self._cache.values()) / self.traits.cache_tokens
        lines = [
            "# TYPE vllm:num_requests_running gauge",
            f"vllm:num_requests_running {late[-1] if late else 0}",
            "# TYPE vllm:gpu_cache_usage_perc gauge",
            f"vllm:gpu_cache_usage_perc {min(1.0, used):.3f}",
        ]
        return PlainTextResponse("\n".join(lines) + "\n")

    def note(self, change: int) -> None:
        self._running += change
        now_ms = self.world.now_ms()
        self._past = [each for each in self._past if now_ms - each[0] < 3 * self.traits.vitals_late_ms]
        self._past.append((now_ms, self._running))

    def cached(self, digest: str, tokens: int) -> bool:
        """Whether the opening was kept; it is afterwards, and the longest unused go."""
        hit = digest in self._cache
        self._cache[digest] = tokens
        self._cache.move_to_end(digest)
        while sum(self._cache.values()) > self.traits.cache_tokens and len(self._cache) > 1:
            self._cache.popitem(last=False)
        return hit

    async def run(self, request_id: str, body: dict[str, Any], send: Any) -> None:
        opening = opening_of(body["model"], body["messages"])
        run = Run(request_id, self.runner, self.incarnation, self.world.now_ms(), 0, False, service=str(body["model"]))
        self.runs.append(run)
        self.write_down(vars(run))
        self.note(1)
        try:
            async with self._slots:
                async with self._prefill:
                    run.cached = self.cached(opening.digest, opening.opening_tokens)
                    run.prefill_tokens = opening.own_tokens + (0 if run.cached else opening.opening_tokens)
                    await self.world.sleep(1000 * run.prefill_tokens / self.traits.prefill_tokens_per_s)
                await self._stream(run, int(body.get("max_tokens", 20)), send)
        finally:
            self.note(-1)
            self.write_down(vars(run))

    async def _stream(self, run: Run, pieces: int, send: Any) -> None:
        headers = {
            "content-type": "text/event-stream",
            "x-request-id": "another" if self.lie == "request" else run.request_id,
            "x-runner": "another" if self.lie == "identity" else self.runner,
            "x-incarnation": self.incarnation,
            "x-weights": self.traits.weights,
        }
        raw = [(name.encode(), value.encode()) for name, value in headers.items()]
        await send({"type": "http.response.start", "status": 200, "headers": raw})
        for number in range(1, pieces + 1):
            if self.break_after is not None and number > self.break_after:
                raise ConnectionResetError("cut on purpose")
            delta: dict[str, Any] = {"index": 0, "delta": {"content": f"{run.request_id}:{run.incarnation}:{number} "}}
            delta["finish_reason"] = "stop" if number == pieces else None
            chunk = {"id": run.request_id, "object": "chat.completion.chunk", "choices": [delta]}
            data = f"id: {number}\ndata: {json.dumps(chunk)}\n\n".encode()
            for _ in range({"skip": 0, "twice": 2}.get(self.lie, 1) if number == 2 else 1):
                await send({"type": "http.response.body", "body": data, "more_body": True})
            run.pieces = number
            await self.world.sleep(self.traits.piece_ms)
        run.whole = True
        self.write_down(vars(run))
        await send({"type": "http.response.body", "body": b"data: [DONE]\n\n", "more_body": False})


class _Completions:
    def __init__(self, runner: StandInRunner) -> None:
        self._runner = runner

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        request = Request(scope, receive)
        body, request_id = await request.json(), request.headers.get("x-request-id", "")
        if self._runner.refusing:
            now_ms = self._runner.world.now_ms()
            self._runner.refusals.append((request_id, now_ms))
            self._runner.write_down({"refused": request_id, "incarnation": self._runner.incarnation, "at_ms": now_ms})
            names = {"x-runner": self._runner.runner, "x-incarnation": self._runner.incarnation}
            headers = {**names, "x-request-id": request_id, "x-outcome": "not-run"}
            refusal = JSONResponse({"error": "draining"}, 503, headers=headers)
            return await refusal(scope, receive, send)
        async with anyio.create_task_group() as group:
            group.start_soon(_until_gone, receive, group.cancel_scope)
            await self._runner.run(request_id, body, send)
            group.cancel_scope.cancel()


async def _until_gone(receive: Any, scope: anyio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()
