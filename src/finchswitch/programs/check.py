"""check: searches the model of the replicated state, and prints what was searched and the shortest violation."""

from dataclasses import replace

import typer

from finchswitch.checking.scenarios import SCENARIOS
from finchswitch.checking.search import Found, Limits, search
from finchswitch.logs import to_stderr

__all__ = ["run_check"]


def run_check(name: str, more: int, limits: Limits) -> int:
    """Search one scenario or all of them, the time shared among them; 1 when an invariant breaks."""
    if name != "all" and name not in SCENARIOS:
        typer.echo(f"scenario: {name} is none of {', '.join(SCENARIOS)}", err=True)
        return 2
    to_stderr("critical", "check")
    names = list(SCENARIOS) if name == "all" else [name]
    broken, left_s = 0, limits.seconds
    for at, each in enumerate(names):
        found = search(SCENARIOS[each].deeper(more), replace(limits, seconds=left_s / (len(names) - at)))
        left_s -= found.seconds
        _print(found)
        broken += bool(found.violation)
    return 1 if broken else 0


def _print(found: Found) -> None:
    extent = "all there is" if found.whole else f"all schedules up to {found.depth} steps"
    verdict = f"VIOLATION: {found.violation}" if found.violation else "held"
    figures = f"{found.states} states, {found.steps} steps, depth {found.depth}, {found.seconds:.1f} s"
    typer.echo(f"{found.scenario}: {verdict}; {figures} ({extent})")
    for number, line in enumerate(found.schedule, 1):
        typer.echo(f"  {number}. {line}")
