"""Whether an operators' history is one that a compare-and-set register could have given.

A write on base ``n`` can only lead to number ``n + 1``. So the place of each write in the order is known, and what is
left to find are the moments at which the numbers came into force. They rise with the numbers, and each answer bounds
them: an answer that rests on number ``n`` says that ``n`` came before the answer and ``n + 1`` not before the call.
Such bounds can be met together if and only if no lower bound on a number lies after an upper bound on the same or a
later number, so the check takes time in proportion to the history (but for sorting) and is exact on numbers and times.
"""

from collections import defaultdict
from dataclasses import dataclass

from finchswitch.simulation.register_content import check_contents
from finchswitch.simulation.register_history import NEVER_MS, Outcome, RegisterHistory, Sending, Write

__all__ = ["check_register"]


@dataclass(frozen=True)
class Bound:
    """A bound on the moment at which a number came into force, and the operation it follows from."""

    number: int
    at_ms: float
    reason: str


def check_register(history: RegisterHistory) -> list[str]:
    """A line for each violation; none if some order of the operations explains every answer."""
    violations = [line for write in history.writes for line in _answers_at_odds(write)]
    newest = _newest_number(history)
    candidates, wrong = _chain(history, newest)
    violations += wrong
    violations += _times_at_odds(history, candidates, newest)
    violations += check_contents(history, candidates)
    return violations


def _answers_at_odds(write: Write) -> list[str]:
    """What the answers to one order say against each other, or against its base."""
    lines = []
    name = f"write {write.order} on base {write.base}"
    numbers = sorted({each.number for each in write.sendings if each.outcome is Outcome.ACKNOWLEDGED})
    if len(numbers) > 1:
        lines.append(f"{name} was acknowledged more than once, with different numbers {numbers}")
    for number in numbers:
        if number != write.number:
            lines.append(f"{name} was acknowledged as number {number}, which is not the next one")
    for sending in write.sendings:
        if sending.outcome is Outcome.STALE and sending.number == write.base:
            lines.append(f"{name}, sent at {_at(sending)}, was refused as stale while that base was in force")
        elif sending.outcome is Outcome.STALE and sending.number < 0:
            lines.append(f"{name}, sent at {_at(sending)}, was refused as stale without the number in force")
        elif write.acknowledged and _refused_for_good(write, sending):
            lines.append(f"{name}, sent at {_at(sending)}, was {sending.outcome.value}, and is acknowledged as well")
    return lines


def _refused_for_good(write: Write, sending: Sending) -> bool:
    if sending.outcome is Outcome.STALE:
        return sending.number > write.base
    return sending.outcome is Outcome.INVALID


def _at(sending: Sending) -> str:
    return f"{sending.sent_ms:.0f} ms"


def _newest_number(history: RegisterHistory) -> int:
    """The highest number that any answer says was in force."""
    telling = (Outcome.ACKNOWLEDGED, Outcome.STALE)
    told = [each.number for write in history.writes for each in write.sendings if each.outcome in telling]
    read = [read.number for read in history.reads if read.number is not None]
    return max([*told, *read], default=0)


def _chain(history: RegisterHistory, newest: int) -> tuple[dict[int, list[Write]], list[str]]:
    """The writes that may have led to each number: the acknowledged one, or those whose fate is open."""
    on_base: dict[int, list[Write]] = defaultdict(list)
    for write in history.writes:
        on_base[write.base].append(write)
    candidates: dict[int, list[Write]] = {}
    violations = []
    for number in range(1, newest + 1):
        writes = on_base[number - 1]
        acknowledged = [write for write in writes if write.acknowledged]
        candidates[number] = acknowledged or [write for write in writes if write.may_be_taken]
        if len(acknowledged) > 1:
            orders = ", ".join(write.order for write in acknowledged)
            violations.append(f"{len(acknowledged)} writes on base {number - 1} were acknowledged: {orders}")
        if not candidates[number]:
            violations.append(f"number {number} was in force, and no write can have led to it: {_refusals(writes)}")
    return candidates, violations


def _refusals(writes: list[Write]) -> str:
    told = [f"{write.order} {sending.outcome.value}" for write in writes for sending in write.sendings]
    return ", ".join(told) or "none was sent on its base"


def _times_at_odds(history: RegisterHistory, candidates: dict[int, list[Write]], newest: int) -> list[str]:
    lower, upper = _bounds(history, candidates)
    first = _first_upper_bounds(upper, newest)
    lines = []
    for bound in lower:
        earlier = first.get(bound.number)
        if earlier is not None and earlier.at_ms < bound.at_ms:
            lines.append(
                f"{bound.reason} at {bound.at_ms:.0f} ms, so number {bound.number} was not in force before,"
                f" yet {earlier.reason} at {earlier.at_ms:.0f} ms"
            )
    return lines


def _first_upper_bounds(upper: list[Bound], newest: int) -> dict[int, Bound]:
    """For each number the earliest moment by which it, or a later one, was in force."""
    first: dict[int, Bound] = {}
    for bound in upper:
        known = first.get(bound.number)
        if known is None or bound.at_ms < known.at_ms:
            first[bound.number] = bound
    for number in range(newest - 1, 0, -1):
        later, own = first.get(number + 1), first.get(number)
        if later is not None and (own is None or later.at_ms < own.at_ms):
            first[number] = later
    return first


def _bounds(history: RegisterHistory, candidates: dict[int, list[Write]]) -> tuple[list[Bound], list[Bound]]:
    lower, upper = [], []
    for number, writes in candidates.items():
        if writes:
            first = min(writes, key=lambda write: write.earliest_ms)
            lower.append(Bound(number, first.earliest_ms, f"write {first.order} on base {first.base} was first sent"))
    for write in history.writes:
        for sending in write.sendings:
            if sending.outcome is Outcome.ACKNOWLEDGED:
                reason = f"write {write.order} was acknowledged as number {sending.number}"
                upper.append(Bound(sending.number, sending.answered_ms, reason))
            elif sending.outcome is Outcome.STALE:
                called = f"write {write.order}, refused as stale by number {sending.number}, was sent"
                answered = f"write {write.order} was refused as stale by number {sending.number}"
                lower.append(Bound(sending.number + 1, sending.sent_ms, called))
                upper.append(Bound(sending.number, sending.answered_ms, answered))
    for read in history.reads:
        if read.number is not None:
            lower.append(Bound(read.number + 1, read.sent_ms, f"a confirmed read of number {read.number} was sent"))
            upper.append(Bound(read.number, read.answered_ms, f"a confirmed read returned number {read.number}"))
    return lower, [bound for bound in upper if bound.at_ms < NEVER_MS]
