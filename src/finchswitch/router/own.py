"""The product's own interface: OpenAI's streamed chat completions from callers and towards runners.

Runners number their pieces or do not; the caller's pieces are always numbered from 1. The last piece is held until the
runner's [DONE] came, so that only a whole answer has an outcome in it.
"""

import json
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import TYPE_CHECKING, Any

import httpx
from httpx_sse import EventSource, SSEError
from returns.result import Failure, Result, Success
from starlette.requests import Request

from finchswitch.constants import ASK_WAIT_MS, PIECE_DIGITS_MOST
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.router.dialect import AttemptError, Call, Fate, Head, Headers, Piece, Refusal, header_values
from finchswitch.router.known_runner import Known
from finchswitch.router.prompt import read_prompt
from finchswitch.router.proof import Ticket

if TYPE_CHECKING:
    from finchswitch.router.node import Node

__all__ = ["OwnDialect", "read_running"]


class OwnDialect:
    kept = False  # a request that must not run twice needs a connection of its own, proven before it

    async def read(self, node: "Node", scope: Any, receive: Any) -> Result[Call, tuple[str, Refusal]]:
        read = await read_prompt(Request(scope, receive), node.fresh_id())
        return Failure(("", read.failure())) if isinstance(read, Failure) else Success(read.unwrap())

    def request(self, call: Call, known: Known, left_ms: float, after: str | None) -> httpx.Request:
        headers = {"content-type": "application/json", "accept": "text/event-stream", "x-request-id": call.request_id}
        url = f"http://{known.address}/v1/chat/completions"
        return httpx.Request("POST", url, content=call.body, headers=headers)

    def check_head(self, response: httpx.Response, known: Known, call: Call) -> Head:
        due = {b"x-runner": known.runner, b"x-incarnation": known.incarnation, b"x-request-id": call.request_id}
        for name, value in due.items():
            if header_values(response, name) != [value.encode("latin-1", "replace")]:
                raise AttemptError(Fate.UNKNOWN, "answer", known.runner, f"{name.decode()} is not that of this request")
        refused = response.headers.get("x-outcome") == Fate.NOT_RUN.value
        if response.status_code != 200:
            fate = Fate.NOT_RUN if refused else Fate.UNKNOWN
            raise AttemptError(fate, "answer", known.runner, f"status {response.status_code}")
        if refused:
            raise AttemptError(Fate.UNKNOWN, "answer", known.runner, "a success that says it did not run")
        return Head(str(response.headers.get("x-weights", "")))

    async def pieces(
        self, response: httpx.Response, known: Known, call: Call, after: str | None
    ) -> AsyncGenerator[Piece, None]:
        number, held = 0, list[dict[str, Any]]()
        async with aclosing(_events(response, known)) as events:
            async for content in events:
                if held or _finishes(content):
                    held.append(content)
                    continue
                number += 1
                yield _piece(number, content)
        if not held:
            raise AttemptError(Fate.UNKNOWN, "stream", known.runner, "[DONE] without a finish")
        held[-1] = {**held[-1], "outcome": Fate.COMPLETE.value, "request_id": call.request_id}
        for content in held:
            number += 1
            yield _piece(number, content)
        yield Piece(b"data: [DONE]\n\n")

    def opened(self, call: Call, head: Head, ticket: Ticket, way: str) -> tuple[int, Headers]:
        headers = {
            "content-type": "text/event-stream",
            "cache-control": "no-store",
            "x-request-id": call.request_id,
            "x-runner": ticket.runner,
            "x-incarnation": ticket.incarnation,
            "x-weights": head.weights,
            "x-way": way,
            "x-generation": str(ticket.generation),
        }
        return 200, _raw(headers)

    def ended(
        self, request_id: str, status: int, fate: Fate, reason: str, after_s: float
    ) -> tuple[int, Headers, bytes]:
        headers = {"content-type": "application/json", "x-outcome": fate.value, "x-request-id": request_id}
        if status in (429, 502, 503):
            headers["retry-after"] = str(max(1, round(after_s)))
        body = json.dumps({"error": {"message": reason, "outcome": fate.value, "request_id": request_id}})
        return status, _raw(headers), body.encode()

    def broken(self, error: AttemptError) -> bytes | None:
        told = {"message": error.reason, "type": error.step, "outcome": Fate.UNKNOWN.value}
        return f"event: error\ndata: {json.dumps({'error': told})}\n\n".encode()

    async def probe(self, known: Known) -> float:
        response = await known.reader.get(f"http://{known.address}/metrics", timeout=ASK_WAIT_MS / 1000)
        return read_running(response.text, known.runner)


def _piece(number: int, content: dict[str, Any]) -> Piece:
    return Piece(f"id: {number}\ndata: {json.dumps(content, separators=(',', ':'))}\n\n".encode())


async def _events(response: httpx.Response, known: Known) -> AsyncGenerator[dict[str, Any], None]:
    """The pieces up to [DONE], checked for shape and for numbers where the runner gives them."""
    number = None
    try:
        async for event in EventSource(response).aiter_sse():
            if event.data == "[DONE]":
                return
            given = _piece_number(event.id, known)
            if given is not None:
                if not _follows(given, number):
                    raise AttemptError(Fate.UNKNOWN, "stream", known.runner, f"piece {given} after {number}")
                number = given
            try:
                content = json.loads(event.data)
            except (ValueError, RecursionError):
                raise AttemptError(Fate.UNKNOWN, "stream", known.runner, "a piece is not JSON") from None
            if not isinstance(content, dict) or not isinstance(content.get("choices"), list):
                raise AttemptError(Fate.UNKNOWN, "stream", known.runner, "a piece without choices")
            yield content
    except SSEError as error:
        raise AttemptError(Fate.UNKNOWN, "stream", known.runner, str(error)) from None
    raise AttemptError(Fate.UNKNOWN, "stream", known.runner, "ended before [DONE]")


def _piece_number(event_id: str, known: Known) -> int | None:
    """The number of a piece, where the runner gives one."""
    if not (event_id.isascii() and event_id.isdigit()):
        return None
    if len(event_id) > PIECE_DIGITS_MOST:
        raise AttemptError(Fate.UNKNOWN, "stream", known.runner, "a piece whose number is too long")
    return int(event_id)


def _follows(number: int, before: int | None) -> bool:
    return before is None or number == before + 1


def _finishes(content: dict[str, Any]) -> bool:
    return any(isinstance(each, dict) and each.get("finish_reason") for each in content["choices"])


def _raw(headers: dict[str, str]) -> Headers:
    return [(name.encode(), value.encode("latin-1", "replace")) for name, value in headers.items()]


def read_running(text: str, peer: str) -> float:
    """Requests running at a runner, from its Prometheus text.

    >>> read_running("# TYPE vllm:num_requests_running gauge\\nvllm:num_requests_running 3.0\\n", "r")
    3.0
    """
    from prometheus_client.parser import text_string_to_metric_families  # only where vitals come in this form

    try:
        for family in text_string_to_metric_families(text):
            if family.name == "vllm:num_requests_running":
                return sum(float(sample.value) for sample in family.samples)
    except ValueError as wrong:
        raise FleetError(ErrorKind.BROKEN, "vitals", peer, str(wrong)) from None
    raise FleetError(ErrorKind.BROKEN, "vitals", peer, "no vllm:num_requests_running")
