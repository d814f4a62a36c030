"""Reading a caller's request: whole and checked before any seat is thought of.

Refusals here are final, ``not-run``, and come at once.
"""

import json
from dataclasses import dataclass
from typing import Any

import anyio
from returns.result import Failure, Result, Success
from starlette.requests import ClientDisconnect, Request

from finchswitch.affinity import Opening, opening_of
from finchswitch.constants import BODY_MOST_BYTES, CALLER_STILL_MS, DUE_LEAST_MS, DUE_MOST_MS, REQUEST_ID_MOST

__all__ = ["Prompt", "Refusal", "read_prompt"]


@dataclass(frozen=True)
class Refusal:
    status: int
    reason: str


@dataclass(frozen=True)
class Prompt:
    request_id: str
    service: str
    repeatable: bool
    due_ms: float | None
    body: bytes
    opening: Opening


async def read_prompt(request: Request, fresh_id: str) -> Result[Prompt, Refusal]:
    """The prompt, or why it is refused."""
    body = b""
    try:
        with anyio.fail_after(CALLER_STILL_MS / 1000):
            async for part in request.stream():
                body += part
                if len(body) > BODY_MOST_BYTES:
                    return Failure(Refusal(413, f"the body is over {BODY_MOST_BYTES} bytes"))
    except ClientDisconnect:
        return Failure(Refusal(400, "the body was cut"))
    except TimeoutError:
        return Failure(Refusal(408, f"the body did not come within {CALLER_STILL_MS} ms"))
    return check_prompt(dict(request.headers), body, fresh_id)


def check_prompt(headers: dict[str, str], body: bytes, fresh_id: str) -> Result[Prompt, Refusal]:
    """Check headers and body.

    >>> check_prompt({}, b"{", "i").failure()
    Refusal(status=400, reason='the body is not JSON')
    >>> check_prompt({"x-due-ms": "soon"}, b"{}", "i").failure()
    Refusal(status=400, reason='x-due-ms: not a number of milliseconds from 50 to 120000')
    """
    request_id = headers.get("x-request-id", fresh_id)
    if not 1 <= len(request_id) <= REQUEST_ID_MOST or not (request_id.isascii() and request_id.isprintable()):
        return Failure(Refusal(400, f"x-request-id: 1 to {REQUEST_ID_MOST} printable characters"))
    repeatable = headers.get("x-repeatable", "no").lower()
    if repeatable not in ("yes", "no"):
        return Failure(Refusal(400, "x-repeatable: yes or no"))
    due_ms = headers.get("x-due-ms")
    if due_ms is not None and not (
        due_ms.isascii() and due_ms.isdigit() and DUE_LEAST_MS <= int(due_ms) <= DUE_MOST_MS
    ):
        reason = f"x-due-ms: not a number of milliseconds from {DUE_LEAST_MS} to {DUE_MOST_MS}"
        return Failure(Refusal(400, reason))
    try:
        content = json.loads(body)
    except (ValueError, RecursionError):
        return Failure(Refusal(400, "the body is not JSON"))
    wrong = _wrong(content)
    if wrong:
        return Failure(Refusal(400, wrong))
    opening = opening_of(content["model"], content["messages"])
    due = float(due_ms) if due_ms is not None else None
    return Success(Prompt(request_id, content["model"], repeatable == "yes", due, body, opening))


def _wrong(content: Any) -> str:
    if not isinstance(content, dict):
        return "the body is not an object"
    if not isinstance(content.get("model"), str):
        return "model: a string is needed"
    messages = content.get("messages")
    if not isinstance(messages, list) or not messages:
        return "messages: a list with at least one is needed"
    for at, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            return f"messages.{at}: an object with a role is needed"
        if not isinstance(message.get("content"), (str, list)):
            return f"messages.{at}.content: a string or a list is needed"
    if content.get("stream") is not True:
        return "stream: only streamed answers are given"
    return ""
