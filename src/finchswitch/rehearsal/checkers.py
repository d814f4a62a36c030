"""Checkers: each judges one point of what must never happen, from a history alone.

A checker returns a line for each breach. They share nothing with the code under test, and each has a test with a
history that must fail.
"""

from collections import Counter
from collections.abc import Callable

from finchswitch.constants import (
    BRIEF_BACK_MS,
    BRIEF_IN_EFFECT_MS,
    BRIEF_LEAVING_MS,
    BRIEF_TRIES_FLOOR,
    BRIEF_TRIES_SHARE,
    BRIEF_TRIES_WINDOW_MS,
)
from finchswitch.rehearsal.history import History

__all__ = ["CHECKERS", "judge"]


def runs_twice(history: History) -> list[str]:
    """What was not meant to be repeated runs once at the most."""
    counts = Counter(run.requestId for run in history.runs)
    once = [call.requestId for call in history.calls if not call.repeatable]
    return [f"{each} ran {counts[each]} times" for each in once if counts[each] > 1]


def not_run_yet_run(history: History) -> list[str]:
    ran = {run.requestId for run in history.runs}
    told = [call.requestId for call in history.calls if call.outcome == "not-run"]
    return [f"{each} was told not-run and ran" for each in told if each in ran]


def pieces_whole(history: History) -> list[str]:
    """Pieces exactly once and in order, of one run, and complete only when the runner sent all of it."""
    breaches, runs = [], {(run.requestId, run.incarnation): run for run in history.runs}
    for call in history.calls:
        expected = list(range(1, len(call.pieces) + 1))
        if call.numbers != expected:
            breaches.append(f"{call.requestId}: pieces numbered {call.numbers[:9]}")
        for number, text in enumerate(call.pieces, 1):
            if text.strip() != f"{call.requestId}:{call.incarnation}:{number}":
                breaches.append(f"{call.requestId}: piece {number} from {call.incarnation} reads {text!r}")
                break
        run = runs.get((call.requestId, call.incarnation))
        claims = call.done or call.outcome == "complete"
        if claims and (run is None or not run.whole or run.pieces != len(call.pieces)):
            breaches.append(f"{call.requestId}: looks complete and is not")
    return breaches


def only_allowed(history: History) -> list[str]:
    foreign = [run for run in history.runs if run.incarnation not in history.allowed]
    return [f"{run.requestId} ran on {run.incarnation}, never allowed" for run in foreign]


def leaving_left_alone(history: History) -> list[str]:
    leftMs = {each.incarnation: each.atMs for each in reversed(history.listed) if each.what == "leaving"}
    return [
        f"{run.requestId} began on {run.incarnation} {run.atMs - leftMs[run.incarnation]:.0f} ms after it was leaving"
        for run in history.runs
        if run.incarnation in leftMs and run.atMs > leftMs[run.incarnation] + BRIEF_LEAVING_MS
    ]


def acknowledged_in_effect(history: History) -> list[str]:
    """A request that reaches its runner two seconds after an acknowledged change sees at least its generation."""
    breaches, beganMs = [], {(run.requestId, run.incarnation): run.atMs for run in history.runs}
    for change in history.changes:
        if change.status != 200:
            continue
        for call in history.calls:
            atMs = beganMs.get((call.requestId, call.incarnation), call.askedMs)
            if 0 <= call.generation < change.generation and atMs > change.answeredMs + BRIEF_IN_EFFECT_MS:
                breaches.append(f"{call.node} used {call.generation} after {change.generation} was acknowledged")
    return breaches


def never_back(history: History) -> list[str]:
    breaches: list[str] = []
    seen: dict[str, list[tuple[float, int]]] = {}
    for call in sorted(history.calls, key=lambda each: each.firstMs):
        if call.generation < 0:
            continue
        earlier = seen.setdefault(call.node, [])
        newest = max((generation for atMs, generation in earlier if atMs <= call.askedMs - BRIEF_BACK_MS), default=-1)
        if call.generation < newest:
            breaches.append(f"{call.node} went back from {newest} to {call.generation}")
        earlier.append((call.firstMs, call.generation))
    return breaches


def changes_exclusive(history: History) -> list[str]:
    """One winner a base; each acknowledged change has a generation of its own."""
    breaches = []
    taken = [change for change in history.changes if change.status in (200, 202)]
    distinct = {change.changeId: change for change in taken}.values()
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
        known = [c.generation for c in history.changes if c.status in (200, 202) and c.answeredMs <= read.sentMs]
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


def planned_cuts_nothing(history: History) -> list[str]:
    """A stream under way breaks only when its runner was made to fail, its node was, or its caller left."""
    excused = history.failed
    cut = [call for call in history.calls if call.pieces and not call.done and not call.left]
    return [
        f"{call.requestId} on {call.node} and {call.incarnation} was cut: {call.reason}"
        for call in cut
        if call.incarnation not in excused and call.node not in excused
    ]


def tries_within(history: History) -> list[str]:
    """Runs beyond each request's first, in any ten seconds, against the traffic of those ten seconds."""
    seen: set[str] = set()
    extra = []
    for run in sorted(history.runs, key=lambda each: each.atMs):
        if run.requestId in seen:
            extra.append(run.atMs)
        seen.add(run.requestId)
    breaches = []
    for startMs in extra:
        within = sum(1 for atMs in extra if startMs <= atMs < startMs + BRIEF_TRIES_WINDOW_MS)
        traffic = sum(1 for call in history.calls if startMs <= call.askedMs < startMs + BRIEF_TRIES_WINDOW_MS)
        if within > BRIEF_TRIES_SHARE * traffic + BRIEF_TRIES_FLOOR:
            breaches.append(f"{within} extra tries against {traffic} calls from {startMs:.0f} ms on")
    return breaches[:1]


def refusals_tell_when(history: History) -> list[str]:
    """A final answer given for want of a seat comes with Retry-After."""
    return [
        f"{call.requestId}: {call.status} without Retry-After"
        for call in history.calls
        if call.status in (429, 503) and not call.retryAfter
    ]


CHECKERS: dict[str, Callable[[History], list[str]]] = {
    "runs-twice": runs_twice,
    "not-run-yet-run": not_run_yet_run,
    "pieces-whole": pieces_whole,
    "only-allowed": only_allowed,
    "leaving-left-alone": leaving_left_alone,
    "acknowledged-in-effect": acknowledged_in_effect,
    "never-back": never_back,
    "changes-exclusive": changes_exclusive,
    "reads-current": reads_current,
    "refused-without-effect": refused_without_effect,
    "planned-cuts-nothing": planned_cuts_nothing,
    "tries-within": tries_within,
    "refusals-tell-when": refusals_tell_when,
}


def judge(history: History) -> dict[str, list[str]]:
    """Every breach, by checker; empty when none."""
    judged = {name: checker(history) for name, checker in CHECKERS.items()}
    return {name: breaches for name, breaches in judged.items() if breaches}
