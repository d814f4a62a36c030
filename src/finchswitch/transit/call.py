"""A caller's request from top to bottom: read, seated, run, passed on piece by piece, ended with an honest outcome.

The head of the answer waits for the first piece, so that a request which fails before it gets a plain status.
After the first piece there are no more tries: the stream ends whole, or with an error event and no [DONE].
"""

import json
from contextlib import aclosing
from typing import TYPE_CHECKING, Any

import anyio
from returns.result import Failure
from starlette.requests import Request

from finchswitch.affinity import Drawn
from finchswitch.constants import FIRST_WAIT_SHARE, RETRY_AFTER_LEAST_S, RETRY_AFTER_MOST_S
from finchswitch.logs import prefix
from finchswitch.transit.attempt import Fate, Piece, TryMishap, pieces_of
from finchswitch.transit.prompt import Prompt, Refusal, read_prompt
from finchswitch.transit.proof import Ticket

if TYPE_CHECKING:
    from finchswitch.transit.node import Node

__all__ = ["answer_call"]

_log = prefix("call")
Send = Any


async def answer_call(node: "Node", scope: Any, receive: Any, send: Send) -> None:
    """One request."""
    node.vitals["asked"] += 1
    read = await read_prompt(Request(scope, receive), node.fresh_id())
    if isinstance(read, Failure):
        return await _end(node, send, "", read.failure().status, Fate.NOT_RUN, read.failure().reason)
    prompt = read.unwrap()
    if prompt.request_id in node.underway or node.sent.bars(prompt.request_id, prompt.repeatable, node.world.now_ms()):
        reason = "this request id is under way here, or was lately sent to a runner"
        return await _end(node, send, prompt.request_id, 409, Fate.UNKNOWN, reason)
    node.underway.add(prompt.request_id)
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(_watch_caller, receive, group.cancel_scope)
            await _run(node, prompt, send)
            group.cancel_scope.cancel()
    finally:
        node.underway.discard(prompt.request_id)


async def _watch_caller(receive: Any, scope: anyio.CancelScope) -> None:
    """A caller that goes away ends the request, which closes the runner's connection and frees the seat."""
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


async def _run(node: "Node", prompt: Prompt, send: Send) -> None:
    began_ms, tried, fate, reason = node.world.now_ms(), set[str](), Fate.NOT_RUN, ""
    node.tries.prompt(began_ms)
    node.count_opening(prompt.opening)
    while True:
        granted = node.grant(prompt, tried, began_ms)
        if isinstance(granted, Refusal):
            if not tried:
                return await _end(node, send, prompt.request_id, granted.status, Fate.NOT_RUN, granted.reason)
            break
        drawn, due_ms = granted
        try:
            return await _pass_on(node, prompt, drawn, due_ms, send)
        except TryMishap as mishap:
            _log.info("A try failed, {}. {}", mishap.fate.value, mishap)
            tried.add(drawn.runner.runner)
            fate = Fate.UNKNOWN if mishap.fate is Fate.UNKNOWN else fate
            if fate is Fate.NOT_RUN:
                node.sent.take_back(prompt.request_id)
            reason = str(mishap)
            if mishap.step == "connect":
                node.roster.down(node.roster.known[drawn.runner.incarnation], mishap.reason)
        repeats = fate is Fate.NOT_RUN or prompt.repeatable
        if not repeats or not node.tries.take(node.tries_share(), node.world.now_ms()):
            break
    await _end(node, send, prompt.request_id, 503 if fate is Fate.NOT_RUN else 502, fate, reason)


async def _pass_on(node: "Node", prompt: Prompt, drawn: Drawn, due_ms: float, send: Send) -> None:
    """One try; raises a TryMishap only while nothing was passed on."""
    known, seat = node.roster.known[drawn.runner.incarnation], node.take_seat(drawn)
    number, opening = 0, prompt.opening
    ticket = Ticket(prompt.request_id, prompt.repeatable, prompt.service, opening.digest, drawn.runner.runner)
    try:
        with anyio.fail_after(node.creed().settings.answer_most_ms / 1000):
            async with aclosing(pieces_of(known, prompt, ticket, due_ms * FIRST_WAIT_SHARE)) as pieces:
                async for piece in pieces:
                    if number == 0:
                        seat.begun(piece.weights)
                        await _start(send, prompt, drawn, piece, ticket)
                    number += 1
                    content = piece.content
                    if piece.last:
                        content = {**content, "outcome": Fate.COMPLETE.value, "request_id": prompt.request_id}
                    await _event(send, f"id: {number}\ndata: {json.dumps(content, separators=(',', ':'))}\n\n")
    except (TryMishap, TimeoutError) as ended:
        longest = TryMishap(Fate.UNKNOWN, "stream", known.runner, "longer than answerMostMs allows")
        mishap = ended if isinstance(ended, TryMishap) else longest
        if number == 0:
            raise mishap from None
        _log.warning("A stream broke after {} pieces. {}", number, mishap)
        node.vitals["broken"] += 1
        error = {"message": mishap.reason, "type": mishap.step, "outcome": Fate.UNKNOWN.value}
        await _event(send, f"event: error\ndata: {json.dumps({'error': error})}\n\n", more=False)
        return
    finally:
        seat.free()
    node.vitals["complete"] += 1
    await _event(send, "data: [DONE]\n\n", more=False)


async def _start(send: Send, prompt: Prompt, drawn: Drawn, piece: Piece, ticket: Ticket) -> None:
    headers = {
        "content-type": "text/event-stream",
        "cache-control": "no-store",
        "x-request-id": prompt.request_id,
        "x-runner": drawn.runner.runner,
        "x-incarnation": drawn.runner.incarnation,
        "x-weights": piece.weights,
        "x-way": drawn.way.value,
        "x-generation": str(ticket.generation),
    }
    await send({"type": "http.response.start", "status": 200, "headers": _raw(headers)})


async def _event(send: Send, text: str, more: bool = True) -> None:
    await send({"type": "http.response.body", "body": text.encode(), "more_body": more})


async def _end(node: "Node", send: Send, request_id: str, status: int, fate: Fate, reason: str) -> None:
    """A final answer without pieces, at once; whoever may come back is told when."""
    node.vitals[fate.value] += 1
    headers = {"content-type": "application/json", "x-outcome": fate.value, "x-request-id": request_id}
    if status in (429, 502, 503):
        headers["retry-after"] = str(node.world.chance.randint(RETRY_AFTER_LEAST_S, RETRY_AFTER_MOST_S))
    body = json.dumps({"error": {"message": reason, "outcome": fate.value, "request_id": request_id}})
    await send({"type": "http.response.start", "status": status, "headers": _raw(headers)})
    await send({"type": "http.response.body", "body": body.encode()})


def _raw(headers: dict[str, str]) -> list[tuple[bytes, bytes]]:
    return [(name.encode(), value.encode("latin-1", "replace")) for name, value in headers.items()]
