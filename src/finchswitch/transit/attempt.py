"""One try at one runner: from the connection to [DONE], or to the mishap that ended it.

A try that failed says whether the request surely did not run, or may have. What may have left as a byte is never
called not run, unless the runner itself refused in the way its interface documents as not started.
"""

import json
from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import dataclass
from enum import Enum
from typing import Any

import anyio
import httpx
from httpx_sse import EventSource, SSEError

from finchswitch.logs import prefix
from finchswitch.mishap import Mishap, MishapKind
from finchswitch.transit.prompt import Prompt
from finchswitch.transit.proof import TICKET, Ticket
from finchswitch.transit.roster import Known

__all__ = ["Fate", "Piece", "TryMishap", "pieces_of"]

_log = prefix("call")


class Fate(Enum):
    """What is known of a request at its end."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class TryMishap(Mishap):
    """A try's end without a whole answer."""

    def __init__(self, fate: Fate, step: str, peer: str, reason: str) -> None:
        super().__init__(MishapKind.REFUSED if fate is Fate.NOT_RUN else MishapKind.LOST, step, peer, reason)
        self.fate = fate


@dataclass(frozen=True)
class Piece:
    """One piece of an answer; the last one says so, and only a whole answer has it."""

    content: dict[str, Any]
    weights: str
    last: bool


async def pieces_of(known: Known, prompt: Prompt, ticket: Ticket, first_wait_ms: float) -> AsyncGenerator[Piece, None]:
    """Send the prompt and yield the answer's pieces; raises a TryMishap unless the answer came whole."""
    TICKET.set(ticket)
    headers = {"content-type": "application/json", "accept": "text/event-stream", "x-request-id": prompt.request_id}
    url = f"http://{known.address}/v1/chat/completions"
    step, request = "send", known.client.build_request("POST", url, content=prompt.body, headers=headers)
    try:
        with anyio.fail_after(first_wait_ms / 1000):
            response = await known.client.send(request, stream=True)
        try:
            step = "answer"
            weights = _check_head(response, known, prompt)
            async with aclosing(_events(response, known)) as events:
                held: list[dict[str, Any]] = []
                with anyio.fail_after(first_wait_ms / 1000):
                    first = await anext(events)
                step = "stream"
                content: dict[str, Any] | None = first
                while content is not None:
                    if held or _finishes(content):
                        held.append(content)
                    else:
                        yield Piece(content, weights, last=False)
                    content = await anext(events, None)
                if not held:
                    raise TryMishap(Fate.UNKNOWN, step, known.runner, "[DONE] without a finish")
                for content in held[:-1]:
                    yield Piece(content, weights, last=False)
                yield Piece(held[-1], weights, last=True)
        finally:
            with anyio.CancelScope(shield=True):
                await response.aclose()
    except (httpx.ConnectError, httpx.ConnectTimeout) as error:
        raise TryMishap(Fate.NOT_RUN, "permit" if ticket.refused else "connect", known.runner, str(error)) from None
    except (httpx.HTTPError, SSEError, TimeoutError) as error:
        fate, step = (Fate.UNKNOWN, step) if ticket.generation >= 0 else (Fate.NOT_RUN, "connect")
        raise TryMishap(fate, step, known.runner, f"{type(error).__name__} {error}") from None


def _check_head(response: httpx.Response, known: Known, prompt: Prompt) -> str:
    shown = (response.headers.get("x-runner"), response.headers.get("x-incarnation"))
    if shown != (known.runner, known.incarnation):
        raise TryMishap(Fate.UNKNOWN, "answer", known.runner, f"answered as {shown}")
    if response.headers.get("x-request-id") != prompt.request_id:
        raise TryMishap(Fate.UNKNOWN, "answer", known.runner, "answered another request")
    if response.status_code != 200:
        refused = response.headers.get("x-outcome") == Fate.NOT_RUN.value
        fate = Fate.NOT_RUN if refused else Fate.UNKNOWN
        raise TryMishap(fate, "answer", known.runner, f"status {response.status_code}")
    return str(response.headers.get("x-weights", ""))


async def _events(response: httpx.Response, known: Known) -> AsyncGenerator[dict[str, Any], None]:
    """The pieces up to [DONE], checked for shape and for numbers where the runner gives them."""
    number = None
    async for event in EventSource(response).aiter_sse():
        if event.data == "[DONE]":
            return
        if event.id.isdigit():
            if not _follows(int(event.id), number):
                raise TryMishap(Fate.UNKNOWN, "stream", known.runner, f"piece {event.id} after {number}")
            number = int(event.id)
        try:
            content = json.loads(event.data)
        except ValueError:
            raise TryMishap(Fate.UNKNOWN, "stream", known.runner, "a piece is not JSON") from None
        if not isinstance(content, dict) or not isinstance(content.get("choices"), list):
            raise TryMishap(Fate.UNKNOWN, "stream", known.runner, "a piece without choices")
        yield content
    raise TryMishap(Fate.UNKNOWN, "stream", known.runner, "ended before [DONE]")


def _follows(number: int, before: int | None) -> bool:
    return before is None or number == before + 1


def _finishes(content: dict[str, Any]) -> bool:
    return any(isinstance(each, dict) and each.get("finish_reason") for each in content["choices"])
