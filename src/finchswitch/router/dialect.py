"""What a request is to this fleet, whoever speaks it, and the calls by which an interface is put in front of the path.

A ``Dialect`` reads a caller's request into a ``Call``, words it for a runner, reads the runner's answer piece by piece
and words the outcome. It decides nothing: who runs a call, how often, and what became of it is the one path's matter.
"""

from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any, Protocol

import httpx
from returns.result import Result

from finchswitch.affinity import Opening
from finchswitch.errors import ErrorKind, FleetError

if TYPE_CHECKING:
    from finchswitch.router.known_runner import Known
    from finchswitch.router.node import Node
    from finchswitch.router.proof import Ticket

__all__ = ["AttemptError", "Call", "Dialect", "Fate", "Head", "Headers", "Piece", "Refusal", "header_values"]

Headers = list[tuple[bytes, bytes]]


class Fate(Enum):
    """What is known of a request at its end."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class AttemptError(FleetError):
    """A try's end without a whole answer."""

    def __init__(self, fate: Fate, step: str, peer: str, reason: str) -> None:
        super().__init__(ErrorKind.REFUSED if fate is Fate.NOT_RUN else ErrorKind.LOST, step, peer, reason)
        self.fate = fate


@dataclass(frozen=True)
class Refusal:
    """Why a request gets no seat. ``after_ms`` says when to come back, where that is known."""

    status: int
    reason: str
    after_ms: float | None = None


@dataclass(frozen=True)
class Call:
    """One request, read whole."""

    request_id: str
    service: str
    repeatable: bool  # it may run more than once
    opening: Opening
    body: bytes
    due_ms: float | None = None  # the first token is wanted within this; the service's own where None
    limit_ms: float | None = None  # nobody waits longer than this for the whole answer
    gap_ms: float | None = None  # the longest pause between pieces that is still timely
    resumable: bool = False  # a broken answer may be taken up at another runner
    most_runners: int | None = None  # runners that it may be sent to
    rank: int | None = None  # 0 is the highest
    route: str = ""
    words: Any = field(default=None, compare=False)  # the dialect's own: what it needs to word the request again


@dataclass(frozen=True)
class Head:
    """The beginning of a runner's answer."""

    weights: str
    status: int = 200
    headers: Headers = field(default_factory=list)
    failed: bool = False  # the runner's own failure, passed on as it is


@dataclass(frozen=True)
class Piece:
    """A part of an answer, ready to be passed on; ``at`` is its number where an answer may be taken up after it."""

    data: bytes
    at: str | None = None


def header_values(response: httpx.Response, name: bytes) -> list[bytes]:
    """Every value of a header as it came, so that one that is missing or stands twice is not taken for another.

    >>> header_values(httpx.Response(200, headers=[("x-id", "a"), ("X-Id", "b")]), b"x-id")
    [b'a', b'b']
    """
    return [value for each, value in response.headers.raw if each.lower() == name]


class Dialect(Protocol):
    kept: bool  # whether requests go over kept connections; then each proves by itself whom it means

    async def read(self, node: "Node", scope: Any, receive: Any) -> "Result[Call, tuple[str, Refusal]]":
        """The request, or its id and why it is refused."""

    def request(self, call: Call, known: "Known", left_ms: float, after: str | None) -> httpx.Request:
        """The request for a runner; ``after`` is the last piece that came of an answer to be taken up."""

    def check_head(self, response: httpx.Response, known: "Known", call: Call) -> Head:
        """The head of an answer; raises a AttemptError for a refusal or an answer of somebody else."""

    def pieces(
        self, response: httpx.Response, known: "Known", call: Call, after: str | None
    ) -> AsyncGenerator[Piece, None]:
        """The pieces of a whole answer, or those behind ``after``; raises a AttemptError unless it came whole."""

    def opened(self, call: Call, head: Head, ticket: "Ticket", way: str) -> tuple[int, Headers]:
        """How the answer begins towards the caller."""

    def ended(
        self, request_id: str, status: int, fate: Fate, reason: str, after_s: float
    ) -> tuple[int, Headers, bytes]:
        """A final answer without pieces."""

    def broken(self, error: AttemptError) -> bytes | None:
        """The last words of a broken answer; None where only a cut connection says it."""

    async def probe(self, known: "Known") -> float:
        """Requests running at a runner, by its own late word."""
