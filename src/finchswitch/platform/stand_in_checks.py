"""Checks of what a fleet's clients, runners and list saw, after the fact; each gives what breaks it, best nothing."""

from dataclasses import dataclass, field
from typing import Any

from finchswitch.platform.stand_in import Ran, Reached
from finchswitch.platform.stand_in_clients import Asked

__all__ = ["CHECKS", "Seen", "judge", "not_whole"]

_DRAIN_MS = 3_000.0
_WINDOW_MS = 10_000.0
_BUDGET_SHARE, _BUDGET_EXTRA = 0.2, 52
_PROMISES = (408, 421, 429, 503)


@dataclass
class Seen:
    asked: list[Asked] = field(default_factory=list)
    ran: list[Ran] = field(default_factory=list)
    reached: list[Reached] = field(default_factory=list)
    draining_ms: dict[str, float] = field(default_factory=dict)  # from when the list showed a runner so


def not_whole(seen: Seen, *routes: str) -> list[tuple[str, int, str]]:
    """What was asked on these routes and did not end as a whole answer."""
    asked = [each for each in seen.asked if each.route["name"] in routes]
    return [(each.attempt, each.status, each.reason) for each in asked if not (each.status == 200 and each.whole)]


def torn(seen: Seen) -> list[Any]:
    """Answers with a piece missing, doubled, or joined to another's, or whose head is not that of their first run."""
    seals = {run.seal: run for run in seen.ran}
    wrong = []
    for each in (asked for asked in seen.asked if asked.status == 200):
        numbers, due = [number for number, *_ in each.got], list(range(1, each.events + 1))
        own = all(attempt == each.attempt and at == number for number, attempt, at, _ in each.got)
        right = numbers == (due if each.whole else due[: len(numbers)])
        first = seals.get(each.headers.get("x-server-seal", ""))
        headed = first is not None and first.attempt == each.attempt == each.headers.get("x-attempt-id")
        if each.got and first is not None:
            headed = headed and first.after == 0 and first.instance == each.got[0][3]
        joined = len({instance for *_, instance in each.got}) > 1 and not each.route["stream_resumption"]
        if joined or not (own and right and headed):
            wrong.append((each.attempt, each.got, each.headers))
    return wrong


def run_twice(seen: Seen) -> list[str]:
    """Requests that may not be repeated and were run more than once."""
    repeatable = {
        each.attempt for each in seen.asked if each.route["stream_resumption"] or each.route["route_type"] == "safe"
    }
    attempts = [run.attempt for run in seen.ran if run.attempt not in repeatable]
    return sorted({each for each in attempts if attempts.count(each) > 1})


def unasked(seen: Seen) -> list[Any]:
    """Runs of a request that no client sent so."""
    sent = {each.attempt: ("POST", f"{each.route['path_prefix']}2f?q={each.attempt}", each.body) for each in seen.asked}
    return [run.words for run in seen.ran if run.words != sent.get(run.attempt)]


def refused_but_run(seen: Seen) -> list[str]:
    """Requests of which the client was promised that they did not run, and that did."""
    ran = {run.attempt for run in seen.ran}
    return [each.attempt for each in seen.asked if each.status in _PROMISES and each.attempt in ran]


def late_at_draining(seen: Seen) -> list[Any]:
    """Requests that reached a runner too long after the list showed it as draining."""
    until_ms = {instance: at_ms + _DRAIN_MS for instance, at_ms in seen.draining_ms.items()}
    arrived = (each for each in seen.reached if each.status != 421)
    return [(each.attempt, each.instance) for each in arrived if each.at_ms > until_ms.get(each.instance, each.at_ms)]


def over_budget(seen: Seen) -> list[Any]:
    """Windows in which more further tries reached the runners than the share of the requests and the extra allow."""
    known, further = set[str](), list[float]()
    for each in sorted(seen.reached, key=lambda reached: reached.at_ms):
        if each.attempt in known:
            further.append(each.at_ms)
        known.add(each.attempt)
    wrong = []
    for at, began_ms in enumerate(further):
        count = sum(began_ms <= each < began_ms + _WINDOW_MS for each in further[at:])
        asked = sum(began_ms <= each.at_ms < began_ms + _WINDOW_MS for each in seen.asked)
        if count > _BUDGET_SHARE * asked + _BUDGET_EXTRA:
            wrong.append((began_ms, count, asked))
    return wrong


CHECKS = (torn, run_twice, unasked, refused_but_run, late_at_draining, over_budget)


def judge(seen: Seen) -> dict[str, list[Any]]:
    """Every breach, by check."""
    found = {check.__name__: check(seen) for check in CHECKS}
    return {name: wrong for name, wrong in found.items() if wrong}
