"""rehearse: failure scenes over seeds, one line a run; and the measurements that go with them."""

import json
import time
from collections import Counter

import typer

from finchswitch.logs import to_stderr
from finchswitch.simulation.deployments import DEPLOYMENTS
from finchswitch.simulation.hollow import HollowRun, run_hollow
from finchswitch.simulation.measure import CONDITIONS, Trial, measure
from finchswitch.simulation.report import make_report
from finchswitch.simulation.rivals import RIVALS
from finchswitch.simulation.slopes import measure_slopes
from finchswitch.simulation.slopes_control import control_subjects
from finchswitch.simulation.slopes_memory import memory_subjects
from finchswitch.simulation.slopes_nodes import node_subjects
from finchswitch.simulation.sweep import ALL, perform

__all__ = ["run_measure", "run_rehearsal", "run_scale", "run_slopes"]


def run_rehearsal(scene: str, seeds: str, deployment: str, log: str) -> int:
    first, _, last = seeds.partition("-")
    if scene != "all" and scene not in ALL:
        typer.echo(f"scene: {scene} is none of {', '.join(ALL)}", err=True)
        return 2
    if deployment not in DEPLOYMENTS:
        typer.echo(f"deployment: {deployment} is none of {', '.join(DEPLOYMENTS)}", err=True)
        return 2
    if not first.isdigit() or not (last or first).isdigit():
        typer.echo(f"seeds: {seeds} is neither a number nor two with a dash", err=True)
        return 2
    to_stderr(log, "rehearsal")
    failed = 0
    for name in ALL if scene == "all" else [scene]:
        for seed in range(int(first), int(last or first) + 1):
            began_s = time.monotonic()
            history, faults = perform(name, seed, DEPLOYMENTS[deployment])
            report = make_report(history)
            outcomes = {service: each["outcomes"] for service, each in report["services"].items()}
            changes = dict(Counter(change.status for change in history.changes))
            took_s = time.monotonic() - began_s
            verdict = "FAILED" if faults else "held"
            typer.echo(f"{name} {deployment} {seed}: {verdict}, {outcomes}, changes {changes}, {took_s:.1f} s")
            for fault in faults:
                typer.echo(f"  {fault}")
            failed += bool(faults)
    return 1 if failed else 0


def run_measure(trial: Trial) -> int:
    known = {"deployment": DEPLOYMENTS, "condition": CONDITIONS, "draw": RIVALS}
    for name, choices in known.items():
        if getattr(trial, name) not in choices:
            typer.echo(f"{name}: {getattr(trial, name)} is none of {', '.join(choices)}", err=True)
            return 2
    to_stderr("critical", "measure")
    typer.echo(json.dumps(measure(trial)))
    return 0


def run_slopes(only: str, effort_ms: float) -> int:
    """All slopes, or of those subjects whose name begins so."""
    subjects = [*node_subjects(), *control_subjects(), *memory_subjects()]
    chosen = [each for each in subjects if each.name.startswith(only)]
    if not chosen:
        typer.echo(f"only: {only} begins none of {', '.join(each.name for each in subjects)}", err=True)
        return 2
    to_stderr("critical", "slopes")
    typer.echo(json.dumps(measure_slopes(chosen, effort_ms), indent=1))
    return 0


def run_scale(nodes: int, seed: int, peers_most: int | None) -> int:
    if nodes < 2:
        typer.echo("nodes: two are the fewest that have a peer", err=True)
        return 2
    to_stderr("critical", "hollow")
    typer.echo(json.dumps(run_hollow(HollowRun(nodes, seed=seed, peers_most=peers_most))))
    return 0
