"""Operators' histories as records of a compare-and-set register.

The configuration is a register with a number. A write names the number it builds on and, when taken, leads to the
next one. A confirmed read returns the number and the content in force. Nothing in here comes from the code under
test but what it answered.
"""

import hashlib
import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from finchswitch.simulation.history import Change, History, Read

__all__ = [
    "Content",
    "ConfirmedRead",
    "Outcome",
    "RegisterHistory",
    "Sending",
    "Write",
    "apply_write",
    "content_digest",
    "register_history",
]

Content = dict[str, Any]
NEVER_MS = float("inf")


class Outcome(Enum):
    """What an operator was told of one sending."""

    ACKNOWLEDGED = "acknowledged"
    STALE = "refused as stale"
    INVALID = "refused as invalid"
    NOT_TAKEN = "surely not taken"
    UNCLEAR = "without a clear answer"


_OUTCOMES = {
    200: Outcome.ACKNOWLEDGED,
    202: Outcome.ACKNOWLEDGED,
    400: Outcome.INVALID,
    409: Outcome.STALE,
    412: Outcome.STALE,
    413: Outcome.INVALID,
    422: Outcome.INVALID,
    503: Outcome.NOT_TAKEN,
}


@dataclass(frozen=True)
class Sending:
    """One sending of a write; the number is the one it was given, or the one in force that a refusal told."""

    sent_ms: float
    outcome: Outcome
    answered_ms: float = NEVER_MS
    number: int = -1


@dataclass(frozen=True)
class Write:
    """One order: what it builds on, what it changes, and every time it was sent."""

    order: str
    base: int
    change: Content
    sendings: tuple[Sending, ...]

    @property
    def number(self) -> int:
        """The number that it leads to if it is taken."""
        return self.base + 1

    @property
    def acknowledged(self) -> bool:
        return any(sending.outcome is Outcome.ACKNOWLEDGED for sending in self.sendings)

    @property
    def refused(self) -> bool:
        """Refused for good: as invalid, or because a later number was in force, which none leads back from."""
        return any(
            sending.outcome is Outcome.INVALID or (sending.outcome is Outcome.STALE and sending.number > self.base)
            for sending in self.sendings
        )

    @property
    def may_be_taken(self) -> bool:
        unclear = any(sending.outcome is Outcome.UNCLEAR for sending in self.sendings)
        return self.acknowledged or (unclear and not self.refused)

    @property
    def earliest_ms(self) -> float:
        """The first sending that can have brought it into force."""
        bringing = (Outcome.ACKNOWLEDGED, Outcome.UNCLEAR)
        return min((each.sent_ms for each in self.sendings if each.outcome in bringing), default=NEVER_MS)


@dataclass(frozen=True)
class ConfirmedRead:
    """One read that was to be confirmed by a majority; without an answer it has no number."""

    sent_ms: float
    answered_ms: float = NEVER_MS
    number: int | None = None
    digest: str = ""


@dataclass(frozen=True)
class RegisterHistory:
    writes: list[Write] = field(default_factory=list)
    reads: list[ConfirmedRead] = field(default_factory=list)


def content_digest(content: Content) -> str:
    """A digest that does not depend on the order of entries, nor on kinds that have none."""
    kept = {kind: entries for kind, entries in content.items() if entries}
    text = json.dumps(kept, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def apply_write(content: Content, change: Content) -> Content:
    """The content that a taken write leads to: a whole configuration, or named edits of the one before.

    >>> apply_write({"services": {"a": {}}}, {"edits": [{"kind": "services", "name": "b", "value": {"dueMs": 1}}]})
    {'services': {'a': {}, 'b': {'dueMs': 1}}}
    """
    if "configuration" in change:
        return dict(change["configuration"])
    result = {kind: dict(entries) for kind, entries in content.items()}
    for edit in change.get("edits", []):
        entries = result.setdefault(edit["kind"], {})
        if edit["value"] is None:
            entries.pop(edit["name"], None)
        else:
            entries[edit["name"]] = edit["value"]
    return result


def register_history(history: History) -> RegisterHistory:
    """What operators sent and read in a run, with the sendings of one order together."""
    orders: dict[tuple[str, int, str], list[Change]] = {}
    for change in history.changes:
        orders.setdefault((change.change_id, change.base, content_digest(change.content)), []).append(change)
    writes = [_write(sendings) for sendings in orders.values()]
    return RegisterHistory(writes, list(_reads(history.reads)))


def _write(changes: list[Change]) -> Write:
    first = changes[0]
    return Write(first.change_id, first.base, first.content, tuple(_sending(change) for change in changes))


def _sending(change: Change) -> Sending:
    outcome = _OUTCOMES.get(change.status, Outcome.UNCLEAR)
    answered_ms = change.answered_ms if change.status else NEVER_MS
    return Sending(change.sent_ms, outcome, answered_ms, change.generation)


def _reads(reads: Iterable[Read]) -> Iterable[ConfirmedRead]:
    for read in reads:
        number = None if read.unanswered else read.generation
        yield ConfirmedRead(read.sent_ms, read.answered_ms, number, read.digest)
