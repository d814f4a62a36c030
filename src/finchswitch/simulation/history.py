"""The history of a rehearsal: what callers saw, what runners ran, what operators sent, what the platform listed.

Nothing in here comes from the code under test but what it answered. Checkers read it after the fact.
"""

from dataclasses import dataclass, field
from typing import Any

__all__ = ["Arrival", "Call", "Change", "DialSeen", "Fault", "History", "ListEvent", "Read", "RunSeen", "Sight"]


@dataclass
class Call:
    """One request, as its caller saw it."""

    request_id: str
    service: str
    repeatable: bool
    node: str
    asked_ms: float
    status: int = 0
    outcome: str = ""
    generation: int = -1
    runner: str = ""
    incarnation: str = ""
    way: str = ""
    first_ms: float = -1.0
    end_ms: float = -1.0
    pieces: list[str] = field(default_factory=list)
    numbers: list[int] = field(default_factory=list)
    done: bool = False
    reason: str = ""
    left: bool = False  # the caller went away by itself
    retry_after: bool = False
    retry_after_s: float = 0.0

    def reason_of_connection(self) -> bool:
        """Whether it ended, as its caller was told, because no connection to a runner came about."""
        return any(f"{step} at " in self.reason for step in ("connect", "permit"))


@dataclass
class RunSeen:
    """One execution, as the runner saw it."""

    request_id: str
    runner: str
    incarnation: str
    at_ms: float
    prefill_tokens: int = 0
    cached: bool = False
    pieces: int = 0
    whole: bool = False
    service: str = ""


@dataclass
class Arrival:
    """A request that reached a runner and was refused there as not started."""

    request_id: str
    incarnation: str
    at_ms: float


@dataclass
class DialSeen:
    """A connection from a routing node to a runner's address, and what came over it; nothing when it failed."""

    origin: str
    address: str
    at_ms: float
    what: str = ""  # "", "vitals" or "request"
    request_id: str = ""


@dataclass
class Fault:
    """A process or a runner was made to fail, from one moment to another."""

    name: str
    from_ms: float
    until_ms: float = float("inf")


@dataclass
class Sight:
    """A node that said it was ready showed this generation, at some moment between the two."""

    node: str
    asked_ms: float
    seen_ms: float
    generation: int


@dataclass
class Change:
    """One change, as its operator saw it; status 0 while it had no answer."""

    change_id: str
    base: int
    sent_ms: float
    status: int = 0
    generation: int = -1
    answered_ms: float = -1.0
    mark: str = ""  # something found in the configuration only if this change took effect
    content: dict[str, Any] = field(default_factory=dict)


@dataclass
class Read:
    """One read of the configuration that was said to be current, or that got no such answer."""

    sent_ms: float
    generation: int
    answered_ms: float = float("inf")
    digest: str = ""  # of the content read, where it was noted
    unanswered: bool = False


@dataclass
class ListEvent:
    incarnation: str
    what: str  # "listed", "leaving", "removed"
    at_ms: float


@dataclass
class History:
    calls: list[Call] = field(default_factory=list)
    runs: list[RunSeen] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    listed: list[ListEvent] = field(default_factory=list)
    allowed: set[str] = field(default_factory=set)  # incarnations that are of the runner whose name they bear
    refusals: list[Arrival] = field(default_factory=list)
    dials: list[DialSeen] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    sights: list[Sight] = field(default_factory=list)
    marks: list[tuple[str, int, str]] = field(default_factory=list)  # (node, generation, mark) as read afterwards
    notes: dict[str, Any] = field(default_factory=dict)

    def failing(self, name: str, at_ms: float) -> None:
        self.faults.append(Fault(name, at_ms))

    def mended(self, name: str, at_ms: float) -> None:
        for fault in self.faults:
            if fault.name == name:
                fault.until_ms = min(fault.until_ms, at_ms)
