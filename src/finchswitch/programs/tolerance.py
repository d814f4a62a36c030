"""tolerance: how long each part has less than its tolerance after losses of control machines, in virtual time."""

import typer

from finchswitch.control.document import part_names
from finchswitch.logs import to_stderr
from finchswitch.simulation.tolerance import LOSSES, ToleranceTrial, measure_tolerance

__all__ = ["run_tolerance"]


def run_tolerance(trial: ToleranceTrial) -> int:
    """Print the times of one trial; 0 when all parts have their tolerance again within ``catch_up_ms``."""
    if trial.loss not in LOSSES:
        typer.echo(f"loss: {trial.loss} is none of {', '.join(LOSSES)}", err=True)
        return 2
    if trial.tolerance < 1 or not 1 <= trial.count <= trial.tolerance:
        typer.echo("count: from one to the tolerance, which is at least one", err=True)
        return 2
    to_stderr("critical", "tolerance")
    restored = measure_tolerance(trial)
    typer.echo(f"f={trial.tolerance}, {trial.count} {trial.loss}, disks {trial.disk_factor:g} times slower")
    for part in part_names():
        took_ms = restored.parts.get(part)
        typer.echo(f"  {part}: {'never' if took_ms is None else f'{took_ms:.0f} ms'}")
    if trial.loss == "leaving":
        typer.echo(f"  the leave itself: {restored.left_ms:.0f} ms of {trial.grace_ms:.0f}")
    within = restored.worst_ms() <= trial.catch_up_ms
    typer.echo(f"  {'within' if within else 'NOT within'} {trial.catch_up_ms:.0f} ms")
    return 0 if within else 1
