"""The history of a rehearsal: what callers saw, what runners ran, what operators sent, what the platform listed.

Nothing in here comes from the code under test but what it answered. Checkers read it after the fact.
"""

from dataclasses import dataclass, field
from typing import Any

__all__ = ["Call", "Change", "History", "ListEvent", "Read", "RunSeen"]


@dataclass
class Call:
    """One request, as its caller saw it."""

    requestId: str
    service: str
    repeatable: bool
    node: str
    askedMs: float
    status: int = 0
    outcome: str = ""
    generation: int = -1
    runner: str = ""
    incarnation: str = ""
    way: str = ""
    firstMs: float = -1.0
    endMs: float = -1.0
    pieces: list[str] = field(default_factory=list)
    numbers: list[int] = field(default_factory=list)
    done: bool = False
    reason: str = ""
    left: bool = False  # the caller went away by itself
    retryAfter: bool = False


@dataclass
class RunSeen:
    """One execution, as the runner saw it."""

    requestId: str
    runner: str
    incarnation: str
    atMs: float
    prefillTokens: int = 0
    cached: bool = False
    pieces: int = 0
    whole: bool = False


@dataclass
class Change:
    """One change, as its operator saw it; status 0 while it had no answer."""

    changeId: str
    base: int
    sentMs: float
    status: int = 0
    generation: int = -1
    answeredMs: float = -1.0
    mark: str = ""  # something found in the configuration only if this change took effect


@dataclass
class Read:
    """One read of the configuration that was said to be current."""

    sentMs: float
    generation: int


@dataclass
class ListEvent:
    incarnation: str
    what: str  # "listed", "leaving", "removed"
    atMs: float


@dataclass
class History:
    calls: list[Call] = field(default_factory=list)
    runs: list[RunSeen] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    listed: list[ListEvent] = field(default_factory=list)
    allowed: set[str] = field(default_factory=set)  # incarnations whose runner some configuration allowed
    failed: set[str] = field(default_factory=set)  # incarnations that were made to fail
    marks: list[tuple[str, int, str]] = field(default_factory=list)  # (node, generation, mark) as read afterwards
    notes: dict[str, Any] = field(default_factory=dict)
