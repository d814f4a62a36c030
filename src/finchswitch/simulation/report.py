"""A report of what callers got, from a history."""

from collections import Counter
from statistics import quantiles
from typing import Any

from finchswitch.simulation.history import Call, History
from finchswitch.simulation.register_history import register_history

__all__ = ["make_report", "print_report"]


def make_report(history: History) -> dict[str, Any]:
    services = sorted({call.service for call in history.calls})
    runs = history.runs
    cached = sum(run.cached for run in runs)
    return {
        "services": {each: _service([call for call in history.calls if call.service == each]) for each in services},
        "runs": len(runs),
        "hit_share": round(cached / len(runs), 3) if runs else 0.0,
        "prefill_tokens": sum(run.prefill_tokens for run in runs),
        "runs_by_runner": dict(sorted(Counter(run.runner for run in runs).items())),
        "operators": _operators(history),
        "notes": history.notes,
    }


def _operators(history: History) -> dict[str, Any]:
    """How much there was for the check of operators' histories to judge."""
    writes = register_history(history).writes
    told = Counter(sending.outcome.value for write in writes for sending in write.sendings)
    confirmed = sum(not read.unanswered for read in history.reads)
    return {
        "orders": len(writes),
        "sendings": dict(sorted(told.items())),
        "reads": {"confirmed": confirmed, "unanswered": len(history.reads) - confirmed},
    }


def _service(calls: list[Call]) -> dict[str, Any]:
    firsts = [call.first_ms - call.asked_ms for call in calls if call.first_ms >= 0]
    cuts = quantiles(firsts, n=100) if len(firsts) > 1 else [0.0] * 99
    outcomes = Counter(call.outcome or "no answer" for call in calls)
    statuses = Counter(str(call.status) for call in calls)
    ways = Counter(call.way for call in calls if call.way)
    return {
        "calls": len(calls),
        "outcomes": dict(sorted(outcomes.items())),
        "statuses": dict(sorted(statuses.items())),
        "ways": dict(sorted(ways.items())),
        "first_ms": {"median": round(cuts[49]), "p99": round(cuts[98])},
    }


def print_report(report: dict[str, Any], breaches: dict[str, list[str]]) -> None:
    for name, each in report["services"].items():
        print(f"{name}: {each['calls']} calls, {each['outcomes']}, statuses {each['statuses']}")
        print(f"  first token median {each['first_ms']['median']} ms, p99 {each['first_ms']['p99']} ms, {each['ways']}")
    print(f"runs {report['runs']}, hits {report['hit_share']}, prefill {report['prefill_tokens']} tokens")
    print(f"by runner {report['runs_by_runner']}")
    operators = report["operators"]
    print(f"operators: {operators['orders']} orders, sendings {operators['sendings']}, reads {operators['reads']}")
    for name, note in report["notes"].items():
        print(f"{name}: {note}")
    for name, lines in breaches.items():
        print(f"BROKEN {name}: {len(lines)}, first {lines[:3]}")
    print("no point of the list broken" if not breaches else f"{len(breaches)} points broken")
