"""Checkers of operators' changes and reads; like all checkers they judge from a history alone."""

from collections import Counter

from finchswitch.simulation.history import History
from finchswitch.simulation.linearizability import check_register
from finchswitch.simulation.register_history import register_history

__all__ = ["changes_exclusive", "operators_linearizable", "reads_current", "refused_without_effect"]


def changes_exclusive(history: History) -> list[str]:
    """One winner a base; each acknowledged change has a generation of its own."""
    breaches = []
    taken = [change for change in history.changes if change.status in (200, 202)]
    distinct = {change.change_id: change for change in taken}.values()
    for base, count in Counter(change.base for change in distinct).items():
        if count > 1:
            breaches.append(f"{count} changes on base {base} were accepted")
    for generation, count in Counter(change.generation for change in distinct).items():
        if count > 1:
            breaches.append(f"generation {generation} was given to {count} changes")
    return breaches


def reads_current(history: History) -> list[str]:
    """A read said to be current shows whatever was acknowledged before it was sent."""
    breaches = []
    for read in history.reads:
        if read.unanswered:
            continue
        known = [c.generation for c in history.changes if c.status in (200, 202) and c.answered_ms <= read.sent_ms]
        if read.generation < max(known, default=0):
            breaches.append(f"a current read showed {read.generation} after {max(known)} was acknowledged")
    return breaches


def refused_without_effect(history: History) -> list[str]:
    refused = {c.mark for c in history.changes if c.mark and c.status in (400, 409, 413, 422, 503)}
    taken = {c.mark for c in history.changes if c.mark and c.status in (200, 202)}
    shown = {mark for _, _, mark in history.marks}
    breaches = [f"refused change {mark} took effect" for mark in sorted((refused - taken) & shown)]
    if history.marks:
        breaches += [f"acknowledged change {mark} is forgotten" for mark in sorted(taken - shown)]
    return breaches


def operators_linearizable(history: History) -> list[str]:
    """All operators' writes and confirmed reads are those of one compare-and-set register."""
    return check_register(register_history(history))
