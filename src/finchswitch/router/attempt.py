"""One try at one runner: from the connection to the end of a whole answer, or to the error that ended it.

A try that failed says whether the request surely did not run, or may have. What may have left as a byte is never
called not run, unless the runner itself refused in the way its interface documents as not started.
"""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import TYPE_CHECKING

import anyio
import httpx

from finchswitch.constants import DIAL_WAIT_MS, FIRST_WAIT_SHARE, PROOF_WAIT_MS, RUNNER_SILENT_MS
from finchswitch.router.dialect import AttemptError, Call, Dialect, Fate, Head, Piece
from finchswitch.router.known_runner import Known
from finchswitch.router.proof import TICKET, Ticket

if TYPE_CHECKING:
    from finchswitch.router.node import Node

__all__ = ["answer_of"]


async def answer_of(
    node: "Node",
    dialect: Dialect,
    known: Known,
    call: Call,
    ticket: Ticket,
    due_ms: float,
    left_ms: float,
    after: str | None,
) -> AsyncGenerator[tuple[Head, Piece | None], None]:
    """Send the call and yield the head of its answer with each piece; raises a AttemptError unless it came whole."""
    TICKET.set(ticket)
    request = dialect.request(call, known, left_ms, after)
    connect_ms = DIAL_WAIT_MS if dialect.kept else PROOF_WAIT_MS
    silent_ms = min(RUNNER_SILENT_MS, left_ms)
    request.extensions["timeout"] = {
        "connect": connect_ms / 1000,
        "read": silent_ms / 1000,
        "write": silent_ms / 1000,
        "pool": None,
    }
    step, first_ms, gap_ms = "send", *_patience(call, due_ms, silent_ms)
    if dialect.kept and not node.permits(known.incarnation, ticket):
        raise AttemptError(Fate.NOT_RUN, "permit", known.runner, "may not be sent to any more")
    try:
        with anyio.fail_after(first_ms / 1000):
            response = await known.transport.handle_async_request(request)
        try:
            step = "answer"
            known.heard(node.world.now_ms())
            head = dialect.check_head(response, known, call)
            async with aclosing(dialect.pieces(response, known, call, after)) as pieces:
                with anyio.fail_after(first_ms / 1000):
                    piece = await _next(pieces)
                step = "stream"
                yield head, piece
                while piece is not None:
                    with anyio.fail_after(gap_ms / 1000):
                        piece = await _next(pieces)
                    if piece is not None:
                        known.heard(node.world.now_ms())
                        yield head, piece
        finally:
            with anyio.CancelScope(shield=True):
                await response.aclose()
    except (httpx.ConnectError, httpx.ConnectTimeout) as error:
        raise AttemptError(Fate.NOT_RUN, "permit" if ticket.refused else "connect", known.runner, str(error)) from None
    except (httpx.HTTPError, httpx.StreamError, TimeoutError) as error:
        fate, step = (Fate.UNKNOWN, step) if ticket.generation >= 0 else (Fate.NOT_RUN, "connect")
        raise AttemptError(fate, step, known.runner, f"{type(error).__name__} {error}") from None


async def _next(pieces: AsyncGenerator[Piece, None]) -> Piece | None:
    """The next piece, or None at the end."""
    try:
        return await pieces.__anext__()
    except StopAsyncIteration:
        return None


def _patience(call: Call, due_ms: float, silent_ms: float) -> tuple[float, float]:
    """How long a first piece and a next one are awaited; silence alone does not show that a runner stopped."""
    if call.limit_ms is not None:
        return silent_ms, silent_ms
    return due_ms * FIRST_WAIT_SHARE, silent_ms
