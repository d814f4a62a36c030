"""The command ``finchswitch soak``: one soak a seed, a line for each, and every breach by name."""

import tempfile
from pathlib import Path
from typing import Annotated

import typer

from finchswitch.platform.soak.plan import Mix, Plan

__all__ = ["soak"]

_SHOWN_OF_A_BREACH = 5


def soak(
    seeds: Annotated[str, typer.Option(help="First and last seed, as 1-50, or one seed.")] = "1",
    seconds: Annotated[float, typer.Option(min=1, help="How long troubles come in each soak.")] = 30.0,
    edges: Annotated[int, typer.Option(min=2, help="Routing nodes, each a process.")] = 4,
    cores: Annotated[int, typer.Option(min=3, help="Control nodes, each a process.")] = 3,
    clients: Annotated[int, typer.Option(min=1, help="Callers, each with a connection that it keeps.")] = 24,
    mix: Annotated[Mix | None, typer.Option(help="Which troubles come; drawn from the seed otherwise.")] = None,
    keep: Annotated[Path | None, typer.Option(help="Folder for logs and reports; a temporary one otherwise.")] = None,
) -> None:
    """Run a fleet of real processes under series of signals and changes, and account for every request.

    The processes run on 127.x addresses of this machine, one machine's address each, with stand-in runners. Exit code
    1 when anything was broken; the folder then holds the logs of the processes and what came when.
    """
    from finchswitch.platform.soak.run import run_soak

    root = keep or Path(tempfile.mkdtemp(prefix="finchswitch-soak-"))
    first, _, last = seeds.partition("-")
    if not first.isdigit() or (last and not last.isdigit()):
        typer.echo(f"seeds: {seeds} is neither a number nor a range", err=True)
        raise typer.Exit(2)
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        report = run_soak(Plan.drawn(seed, seconds, edges, cores, clients, mix), root / f"seed-{seed}")
        typer.echo(report.line())
        broken += bool(report.breaches)
        for name, wrong in report.breaches.items():
            for each in wrong[:_SHOWN_OF_A_BREACH]:
                typer.echo(f"  {name}: {each}")
            if len(wrong) > _SHOWN_OF_A_BREACH:
                typer.echo(f"  {name}: {len(wrong) - _SHOWN_OF_A_BREACH} more")
    typer.echo(f"{broken} of {int(last or first) - int(first) + 1} soaks broken; logs in {root}")
    raise typer.Exit(1 if broken else 0)
