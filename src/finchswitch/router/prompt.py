"""Reading a caller's request in the product's own interface: whole and checked before any seat is thought of.

Refusals here are final, ``not-run``, and come at once.
"""

import json
from typing import Any

import anyio
from returns.result import Failure, Result, Success
from starlette.requests import ClientDisconnect, Request

from finchswitch.affinity import opening_of
from finchswitch.constants import BODY_MOST_BYTES, CALLER_STILL_MS, DUE_LEAST_MS, DUE_MOST_MS, REQUEST_ID_MOST
from finchswitch.router.dialect import Call, Refusal

__all__ = ["read_body", "read_prompt"]


async def read_prompt(request: Request, fresh_id: str) -> Result[Call, Refusal]:
    """The prompt, or why it is refused."""
    read = await read_body(request, BODY_MOST_BYTES)
    return read if isinstance(read, Failure) else check_prompt(dict(request.headers), read.unwrap(), fresh_id)


async def read_body(request: Request, most_bytes: int) -> Result[bytes, Refusal]:
    """A body of bounded size, from a caller that goes on sending."""
    body = b""
    try:
        with anyio.fail_after(CALLER_STILL_MS / 1000):
            async for part in request.stream():
                body += part
                if len(body) > most_bytes:
                    return Failure(Refusal(413, f"the body is over {most_bytes} bytes"))
    except ClientDisconnect:
        return Failure(Refusal(400, "the body was cut"))
    except TimeoutError:
        return Failure(Refusal(408, f"the body did not come within {CALLER_STILL_MS} ms"))
    return Success(body)


def check_prompt(headers: dict[str, str], body: bytes, fresh_id: str) -> Result[Call, Refusal]:
    """Check headers and body.

    >>> check_prompt({}, b"{", "i").failure()
    Refusal(status=400, reason='the body is not JSON', after_ms=None)
    >>> check_prompt({"x-due-ms": "soon"}, b"{}", "i").failure()
    Refusal(status=400, reason='x-due-ms: not a number of milliseconds from 50 to 120000', after_ms=None)
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
    return Success(Call(request_id, content["model"], repeatable == "yes", opening, body, due))


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
