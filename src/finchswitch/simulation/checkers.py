"""Checkers: each judges one point of what must never happen, from a history alone.

A checker returns a line for each breach. They share nothing with the code under test, and each has a test with a
history that must fail.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable

from finchswitch.constants import (
    BRIEF_BACK_MS,
    BRIEF_IN_EFFECT_MS,
    BRIEF_LEAVING_MS,
    BRIEF_TRIES_FLOOR,
    BRIEF_TRIES_SHARE,
    BRIEF_TRIES_WINDOW_MS,
    CLOCK_SLACK_MS,
)
from finchswitch.simulation.allowance import allowed_since, bound_spans
from finchswitch.simulation.checkers_changes import (
    changes_exclusive,
    operators_linearizable,
    reads_current,
    refused_without_effect,
)
from finchswitch.simulation.history import History, Sight

__all__ = ["CHECKERS", "judge"]


def runs_twice(history: History) -> list[str]:
    """What was not meant to be repeated runs once at the most."""
    counts = Counter(run.request_id for run in history.runs)
    once = [call.request_id for call in history.calls if not call.repeatable]
    return [f"{each} ran {counts[each]} times" for each in once if counts[each] > 1]


def not_run_yet_run(history: History) -> list[str]:
    ran = {run.request_id for run in history.runs}
    told = [call.request_id for call in history.calls if call.outcome == "not-run"]
    return [f"{each} was told not-run and ran" for each in told if each in ran]


def pieces_whole(history: History) -> list[str]:
    """Pieces exactly once and in order, of one run, and complete only when the runner sent all of it."""
    breaches, runs = [], {(run.request_id, run.incarnation): run for run in history.runs}
    for call in history.calls:
        expected = list(range(1, len(call.pieces) + 1))
        if call.numbers != expected:
            breaches.append(f"{call.request_id}: pieces numbered {call.numbers[:9]}")
        for number, text in enumerate(call.pieces, 1):
            if text.strip() != f"{call.request_id}:{call.incarnation}:{number}":
                breaches.append(f"{call.request_id}: piece {number} from {call.incarnation} reads {text!r}")
                break
        run = runs.get((call.request_id, call.incarnation))
        claims = call.done or call.outcome == "complete"
        if claims and (run is None or not run.whole or run.pieces != len(call.pieces)):
            breaches.append(f"{call.request_id}: looks complete and is not")
    return breaches


def only_allowed(history: History) -> list[str]:
    """A run is on a true incarnation, after it was listed, for a service that some change bound to its runner."""
    breaches, since = [], allowed_since(history)
    listed_ms = {each.incarnation: each.at_ms for each in reversed(history.listed) if each.what == "listed"}
    for run in history.runs:
        if run.incarnation not in history.allowed:
            breaches.append(f"{run.request_id} ran on {run.incarnation}, never allowed")
        elif history.listed and run.at_ms < listed_ms.get(run.incarnation, float("inf")):
            breaches.append(f"{run.request_id} ran on {run.incarnation} before it was listed")
        elif since and run.at_ms < since.get((run.service, run.runner), float("inf")):
            breaches.append(f"{run.request_id} of {run.service} ran on {run.runner}, never bound to it")
    return breaches


def leaving_left_alone(history: History) -> list[str]:
    left_ms = {each.incarnation: each.at_ms for each in reversed(history.listed) if each.what == "leaving"}
    return [
        f"{run.request_id} began on {run.incarnation} {run.at_ms - left_ms[run.incarnation]:.0f} ms after it left"
        for run in history.runs
        if run.incarnation in left_ms and run.at_ms > left_ms[run.incarnation] + BRIEF_LEAVING_MS
    ]


def _sights(history: History) -> list[Sight]:
    """Every moment at which a node's generation showed: when it said it was ready, and when it sent a request."""
    began_ms = {(run.request_id, run.incarnation): run.at_ms for run in history.runs}
    seen = list(history.sights)
    for call in history.calls:
        if call.generation >= 0:
            until_ms = began_ms.get((call.request_id, call.incarnation), call.first_ms)
            seen.append(Sight(call.node, call.asked_ms, until_ms, call.generation))
    return seen


def acknowledged_in_effect(history: History) -> list[str]:
    """Two seconds after a change was acknowledged, no ready node is behind it, and no request is sent against it."""
    breaches, began_ms = [], {(run.request_id, run.incarnation): run.at_ms for run in history.runs}
    known = sorted((c.answered_ms + BRIEF_IN_EFFECT_MS, c.generation) for c in history.changes if c.status == 200)
    due = [(at_ms, max(generation for _, generation in known[: at + 1])) for at, (at_ms, _) in enumerate(known)]
    sent = [
        Sight(c.node, began_ms.get((c.request_id, c.incarnation), c.asked_ms), c.first_ms, c.generation)
        for c in history.calls
        if c.generation >= 0
    ]
    for sight in [*history.sights, *sent]:
        newest = due[bisect_left(due, (sight.asked_ms, -1)) - 1][1] if due and due[0][0] < sight.asked_ms else -1
        if sight.generation < newest:
            breaches.append(f"{sight.node} showed {sight.generation} after {newest} was acknowledged")
    for service, runners, since_ms, until_ms in bound_spans(history):
        for run in history.runs:
            if run.service == service and since_ms + BRIEF_IN_EFFECT_MS < run.at_ms < until_ms:
                if run.runner not in runners:
                    breaches.append(f"{run.request_id} of {service} ran on {run.runner}, unbound by then")
    return breaches


def never_back(history: History) -> list[str]:
    breaches: list[str] = []
    seen = _sights(history)
    for node in sorted({each.node for each in seen}):
        rows = [each for each in seen if each.node == node]
        shown, at, newest = sorted(rows, key=lambda each: each.seen_ms), 0, -1
        for sight in sorted(rows, key=lambda each: each.asked_ms):
            while at < len(shown) and shown[at].seen_ms <= sight.asked_ms - BRIEF_BACK_MS:
                newest, at = max(newest, shown[at].generation), at + 1
            if sight.generation < newest:
                breaches.append(f"{node} went back from {newest} to {sight.generation}")
    return breaches


def planned_cuts_nothing(history: History) -> list[str]:
    """A stream breaks only while its runner or its node was made to fail, or when its caller left."""
    breaches = []
    for call in history.calls:
        end_ms = call.end_ms if call.end_ms >= 0 else float("inf")
        excused = call.left or any(
            fault.name in (call.incarnation, call.node)
            and fault.from_ms <= end_ms + CLOCK_SLACK_MS
            and call.asked_ms <= fault.until_ms + CLOCK_SLACK_MS
            for fault in history.faults
        )
        if call.pieces and not call.done and not excused:
            breaches.append(f"{call.request_id} on {call.node} and {call.incarnation} was cut: {call.reason}")
    return breaches


def _over(extra: list[float], traffic: list[float], what: str) -> list[str]:
    """Ten seconds that hold more of the extra than a fifth of their traffic and a few dozen."""
    for at, start_ms in enumerate(extra):
        end_ms = start_ms + BRIEF_TRIES_WINDOW_MS
        within = bisect_left(extra, end_ms) - at
        calls = bisect_left(traffic, end_ms) - bisect_left(traffic, start_ms)
        if within > BRIEF_TRIES_SHARE * calls + BRIEF_TRIES_FLOOR:
            return [f"{within} {what} against {calls} calls from {start_ms:.0f} ms on"]
    return []


def tries_within(history: History) -> list[str]:
    """Whatever reaches a runner beyond each request's first, and each connection for one, against the traffic.

    A connection of which nothing came counts as extra, unless it stands for the first try of a call that never
    reached any runner.
    """
    traffic = sorted(call.asked_ms for call in history.calls)
    arrivals = sorted([(run.at_ms, run.request_id) for run in history.runs])
    arrivals = sorted([*arrivals, *((each.at_ms, each.request_id) for each in history.refusals)])
    reached = {request_id for _, request_id in arrivals}
    extra = _beyond_first(arrivals)
    failed = sorted(dial.at_ms for dial in history.dials if not dial.what)
    for call in sorted(history.calls, key=lambda each: each.asked_ms):
        if call.request_id not in reached and call.reason_of_connection():
            at = bisect_left(failed, call.asked_ms)
            if at < len(failed) and failed[at] <= call.end_ms:
                failed.pop(at)
    dialled = _beyond_first(sorted((dial.at_ms, dial.request_id) for dial in history.dials if dial.what == "request"))
    connections = sorted([*dialled, *failed])
    return _over(extra, traffic, "extra tries") or _over(connections, traffic, "extra connections")


def _beyond_first(seen: list[tuple[float, str]]) -> list[float]:
    known: set[str] = set()
    extra = []
    for at_ms, request_id in seen:
        if request_id in known:
            extra.append(at_ms)
        known.add(request_id)
    return extra


def refusals_tell_when(history: History) -> list[str]:
    """A final answer given for want of a seat comes with Retry-After."""
    return [
        f"{call.request_id}: {call.status} without Retry-After"
        for call in history.calls
        if call.status in (429, 503) and not call.retry_after
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
    "operators-linearizable": operators_linearizable,
    "refused-without-effect": refused_without_effect,
    "planned-cuts-nothing": planned_cuts_nothing,
    "tries-within": tries_within,
    "refusals-tell-when": refusals_tell_when,
}


def judge(history: History) -> dict[str, list[str]]:
    """Every breach, by checker; empty when none."""
    judged = {name: checker(history) for name, checker in CHECKERS.items()}
    return {name: breaches for name, breaches in judged.items() if breaches}
