"""A caller's request from top to bottom: read, seated, run, passed on piece by piece, ended with an honest outcome.

The head of the answer waits for the first piece, so that a request which fails before it gets a plain status. After
the first piece there are no more tries, unless the answer may be taken up where it broke: then another runner goes on
behind the last piece that was passed on, inside the same answer.
"""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio
from returns.result import Failure

from finchswitch.affinity import Drawn
from finchswitch.constants import RETRY_AFTER_LEAST_S, RETRY_AFTER_MOST_S
from finchswitch.logs import prefix
from finchswitch.router.attempt import answer_of
from finchswitch.router.dialect import AttemptError, Call, Dialect, Fate, Head, Headers, Piece, Refusal
from finchswitch.router.proof import Ticket
from finchswitch.router.seat import Seat
from finchswitch.router.watch import Watched

if TYPE_CHECKING:
    from finchswitch.router.node import Node

__all__ = ["Broken", "answer_call"]

_log = prefix("call")
Send = Any


class Broken(Exception):
    """An answer that cannot be ended well: the caller's connection must be cut."""


class _Flow:
    """What of an answer has reached the caller."""

    def __init__(self, node: "Node", send: Send) -> None:
        self._node, self._send = node, send
        self.head: Head | None = None
        self.at: str | None = None
        self.pieces = 0

    @property
    def can_be_taken_up(self) -> bool:
        """Whether another runner could go on behind what the caller has, the call's own terms aside."""
        return self.head is None or (self.at is not None and not self.head.failed)

    async def begin(self, head: Head, status: int, headers: Headers) -> None:
        self.head = head
        await _start(self._node, self._send, status, headers)

    async def pass_on(self, piece: Piece) -> None:
        """Pass a piece on; it counts as passed on before it is, so that no cancellation makes it come twice.

        Behind a piece without a number nothing is taken up: it would come again.
        """
        self.pieces += 1
        self.at = piece.at
        await self.go_on(piece.data)

    async def go_on(self, data: bytes, more: bool = True) -> None:
        await self._send({"type": "http.response.body", "body": data, "more_body": more})


async def answer_call(node: "Node", dialect: Dialect, scope: Any, receive: Any, send: Send) -> None:
    """One request. Raises Broken when nothing but a cut connection can tell the caller that the answer broke."""
    node.vitals["asked"] += 1
    read = await dialect.read(node, scope, receive)
    if isinstance(read, Failure):
        request_id, refusal = read.failure()
        return await _end(node, dialect, send, request_id, refusal, Fate.NOT_RUN)
    call = read.unwrap()
    if call.request_id in node.underway or node.sent.bars(call.request_id, call.repeatable, node.world.now_ms()):
        refusal = Refusal(409, "this request id is under way here, or was lately sent to a runner")
        return await _end(node, dialect, send, call.request_id, refusal, Fate.UNKNOWN)
    node.underway.add(call.request_id)
    broken = False
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(_watch_caller, receive, group.cancel_scope)
            broken = not await _run(node, dialect, call, send)
            group.cancel_scope.cancel()
    finally:
        node.underway.discard(call.request_id)
    if broken:
        raise Broken(call.request_id)


async def _watch_caller(receive: Any, scope: anyio.CancelScope) -> None:
    """A caller that goes away ends the request, which closes the runner's connection and frees the seat."""
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


async def _run(node: "Node", dialect: Dialect, call: Call, send: Send) -> bool:
    """Try after try; whether the caller got an end that tells the truth."""
    began_ms, tried, fate, reason, flow = node.world.now_ms(), set[str](), Fate.NOT_RUN, "", _Flow(node, send)
    node.tries.prompt(began_ms, call.service)
    node.crowds.count(call.opening)
    while True:
        granted = node.grant(call, tried, began_ms)
        if isinstance(granted, Refusal):
            if not tried:
                reason = f"{granted.status} {granted.reason}"
                node.refusals[reason] = node.refusals.get(reason, 0) + 1
                await _end(node, dialect, send, call.request_id, granted, Fate.NOT_RUN)
                return True
            break
        drawn, due_ms = granted
        try:
            await _pass_on(node, dialect, call, drawn, due_ms, began_ms, flow, frozenset(tried))
            return True
        except AttemptError as error:
            _log.info("A try failed, {}, after {} pieces. {}", error.fate.value, flow.pieces, error)
            last, reason = error, str(error)
            tried.add(drawn.runner.runner)
            fate = Fate.UNKNOWN if error.fate is Fate.UNKNOWN else fate
            if fate is Fate.NOT_RUN:
                node.sent.take_back(call.request_id)
            node.missed(drawn.runner.incarnation, error)
        taken_up = call.resumable and flow.can_be_taken_up
        repeats = flow.head is None and (fate is Fate.NOT_RUN or call.repeatable)
        if not (taken_up or repeats) or last.step == "limit" or len(tried) >= (call.most_runners or len(tried) + 1):
            break
        if last.step != "silence" and not node.may_try_again(call.service):
            break
    if flow.head is None:
        refusal = Refusal(503 if fate is Fate.NOT_RUN else 502, reason)
        await _end(node, dialect, send, call.request_id, refusal, fate)
        return True
    _log.warning("An answer broke after {} pieces. {}", flow.pieces, last)
    node.vitals["broken"] += 1
    said = dialect.broken(last)
    if said is not None:
        await flow.go_on(said, more=False)
    return said is not None


async def _pass_on(
    node: "Node",
    dialect: Dialect,
    call: Call,
    drawn: Drawn,
    due_ms: float,
    began_ms: float,
    flow: _Flow,
    tried: frozenset[str],
) -> None:
    """One try; raises a AttemptError unless the answer is whole now."""
    known, seat = node.roster.known[drawn.runner.incarnation], node.take_seat(drawn, call.rank or 0)
    ticket = Ticket(call.request_id, call.repeatable, call.service, call.opening.digest, drawn.runner.runner)
    limit_ms = call.limit_ms
    if limit_ms is None:
        limit_ms = float(node.configuration().settings.answer_most_ms)
    left_ms = began_ms + limit_ms - node.world.now_ms()
    reason = "longer than its caller waits" if call.limit_ms else "longer than answerMostMs allows"
    with anyio.move_on_after(left_ms / 1000) as scope:
        watched = node.watch.begin(known, call, drawn.first_ms, tried)
        attempt = _Attempt(node, dialect, drawn, ticket, seat, watched, flow)
        try:
            async with aclosing(answer_of(node, dialect, known, call, ticket, due_ms, left_ms, flow.at)) as answer:
                await attempt.pass_pieces(answer)
        finally:
            node.watch.end(watched)
            seat.free()
    if scope.cancelled_caught:
        raise AttemptError(Fate.UNKNOWN, "limit", known.runner, reason)
    node.vitals["complete"] += 1
    await flow.go_on(b"", more=False)


@dataclass(frozen=True)
class _Attempt:
    """One try under way, and the answer to the caller that it is part of."""

    node: "Node"
    dialect: Dialect
    drawn: Drawn
    ticket: Ticket
    seat: Seat
    watched: Watched
    flow: _Flow

    async def pass_pieces(self, answer: AsyncGenerator[tuple[Head, Piece | None], None]) -> None:
        """Pass the pieces of the runner's answer on as they come, to its end."""
        begun = False
        while (came := await self.watched.next_of(answer, self.node.world.now_ms())) is not None:
            head, piece = came
            self.watched.heard(self.node.world.now_ms())
            if not begun:
                begun = True
                self.seat.begun(head.weights)
                await self._open(head)
            if piece is not None:
                await self.flow.pass_on(piece)
            self.watched.can_be_taken_up = self.flow.can_be_taken_up

    async def _open(self, head: Head) -> None:
        """Begin the answer to the caller, or see that this one takes the begun answer up."""
        if self.flow.head is None:
            status, headers = self.dialect.opened(self.watched.call, head, self.ticket, self.drawn.way.value)
            await self.flow.begin(head, status, headers)
        elif head.failed or head.status != self.flow.head.status:
            raise AttemptError(Fate.UNKNOWN, "answer", self.ticket.runner, "does not take the answer up")


async def _end(node: "Node", dialect: Dialect, send: Send, request_id: str, refusal: Refusal, fate: Fate) -> None:
    """A final answer without pieces, at once; whoever may come back is told when."""
    node.vitals[fate.value] += 1
    after_s = float(node.world.chance.randint(RETRY_AFTER_LEAST_S, RETRY_AFTER_MOST_S))
    if refusal.after_ms is not None:
        after_s = refusal.after_ms / 1000
    status, headers, body = dialect.ended(request_id, refusal.status, fate, refusal.reason, after_s)
    await _start(node, send, status, headers)
    await send({"type": "http.response.body", "body": body})


async def _start(node: "Node", send: Send, status: int, headers: Headers) -> None:
    """The head of an answer; a node that is stopping takes no further request on the connection.

    It is sent whole whatever is cancelled meanwhile: the server would otherwise begin another head behind it, and end.
    """
    closing = [(b"connection", b"close")] if node.stopping else []
    with anyio.CancelScope(shield=True):
        await send({"type": "http.response.start", "status": status, "headers": [*headers, *closing]})
