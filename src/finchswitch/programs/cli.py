"""The command line: ``finchswitch`` runs each program and operates a fleet.

Exit codes: 0 done, 1 refused or failed (as the output says), 2 wrong settings or input, 3 nobody reachable,
4 committed but not everywhere yet, 5 fate unknown.
"""

import json
from collections.abc import Callable, Coroutine
from importlib.metadata import entry_points
from pathlib import Path
from typing import Annotated, Any

import anyio
import typer
from returns.result import Failure

from finchswitch.days.command import write_days
from finchswitch.days.shapes import Shape
from finchswitch.errors import FleetError, causes_of
from finchswitch.logs import to_stderr
from finchswitch.programs import operate, stand_ins
from finchswitch.programs.startup import Startup, read_startup

__all__ = ["app"]

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="A router fleet for a language model.",
)
app.add_typer(stand_ins.app, name="stand-in", hidden=True)
operate.add_to(app)

File = Annotated[Path | None, typer.Option("--file", help="Startup settings, a TOML file. Flags win over it.")]
Name = Annotated[str | None, typer.Option(help="This process's name, unique in the fleet.")]
Address = Annotated[str | None, typer.Option(help="IP:port for the fleet's own processes.")]
Http = Annotated[str | None, typer.Option(help="IP:port for callers or operators.")]
District = Annotated[str | None, typer.Option(help="The district (zone) this machine is in.")]
Seeds = Annotated[list[str] | None, typer.Option("--seed", help="IP:port of another process; give three.")]
Log = Annotated[str | None, typer.Option(help="debug, info, notice, warning or error.")]
LogForm = Annotated[str | None, typer.Option(help="text for people, or json: one object a line.")]


def _start(
    program: str, file: Path | None, flags: dict[str, Any], run: Callable[[Startup], Coroutine[Any, Any, None]]
) -> None:
    read = read_startup(program, file, flags)
    if isinstance(read, Failure):
        for fault in read.failure():
            typer.echo(fault, err=True)
        raise typer.Exit(2)
    startup = read.unwrap()
    to_stderr(startup.log, startup.name, startup.log_form)
    try:
        anyio.run(run, startup, backend="trio")
    except (OSError, FleetError, ExceptionGroup) as ended:
        causes = list(causes_of(ended))
        if not all(isinstance(each, (OSError, FleetError)) for each in causes):
            raise
        for each in dict.fromkeys(str(each) for each in causes):
            typer.echo(f"{program} {startup.name} ends: {each}", err=True)
        raise typer.Exit(1) from None


@app.command()
def transit(
    file: File = None,
    name: Name = None,
    address: Address = None,
    http: Http = None,
    district: District = None,
    seed: Seeds = None,
    platform: Annotated[str | None, typer.Option(help="IP:port of the platform's list of runners.")] = None,
    log: Log = None,
    log_form: LogForm = None,
) -> None:
    """Run a routing node."""
    from finchswitch.programs.transit import run_transit

    flags = {"name": name, "address": address, "http": http, "district": district, "seeds": seed, "log": log}
    flags["log_form"] = log_form
    _start("transit", file, {**flags, "platform": platform}, run_transit)


@app.command()
def accord(
    file: File = None,
    name: Name = None,
    address: Address = None,
    http: Http = None,
    district: District = None,
    seed: Seeds = None,
    data: Annotated[str | None, typer.Option(help="The data folder.")] = None,
    log: Log = None,
    log_form: LogForm = None,
) -> None:
    """Run a control node."""
    from finchswitch.programs.accord import run_accord

    flags = {"name": name, "address": address, "http": http, "district": district, "seeds": seed, "log": log}
    flags["log_form"] = log_form
    _start("accord", file, {**flags, "data": data}, run_accord)


@app.command()
def stage(
    deployment: Annotated[str, typer.Argument(help="hobart, zuerich, or both in turn.")] = "both",
    seconds: Annotated[int, typer.Option(help="How long callers call.")] = 30,
    seed: Annotated[int, typer.Option(help="The seed of callers and faults.")] = 1,
    share: Annotated[float, typer.Option(help="Share of the deployment's request rate.")] = 1.0,
    faults: Annotated[
        str, typer.Option(help="planned, crash, freeze, loss, runners, storm, operators or none.")
    ] = "planned",
    keep: Annotated[Path | None, typer.Option(help="Folder for logs and data; a temporary one otherwise.")] = None,
    as_json: Annotated[bool, typer.Option("--json", help="The report as JSON.")] = False,
) -> None:
    """Run a whole fleet with stand-ins on this machine, each node a process, and report what callers got."""
    from finchswitch.programs.stage import run_stage

    raise typer.Exit(run_stage(deployment, seconds, seed, share, faults, keep, as_json))


@app.command()
def rehearse(
    scene: Annotated[str, typer.Argument(help="A scene's name, or all.")] = "all",
    seeds: Annotated[str, typer.Option(help="First and last seed, as 1-20, or one seed to replay it.")] = "1-3",
    deployment: Annotated[str, typer.Option(help="village (small), hobart or zuerich (full size).")] = "village",
    log: Annotated[str, typer.Option(help="Log level of the rehearsed nodes; error hides most.")] = "critical",
) -> None:
    """Run failure scenes in virtual time over many seeds; names each failing seed, which replays the same."""
    from finchswitch.programs.rehearse import run_rehearsal

    raise typer.Exit(run_rehearsal(scene, seeds, deployment, log))


@app.command()
def measure(
    deployment: Annotated[str, typer.Option(help="hobart or zuerich.")] = "hobart",
    condition: Annotated[str, typer.Option(help="steady, crowd, lost or plan.")] = "steady",
    draw: Annotated[str, typer.Option(help="design, random or least.")] = "design",
    seed: Annotated[int, typer.Option(help="The seed.")] = 1,
    seconds: Annotated[int, typer.Option(help="Virtual seconds of calls.")] = 15,
    hot_most: Annotated[int | None, typer.Option(help="Size of the hot set.")] = None,
    spill_share: Annotated[float | None, typer.Option(help="Burden past which a home spills.")] = None,
    belief_ms: Annotated[float | None, typer.Option(help="Age past which a belief is dropped.")] = None,
    cache_tokens: Annotated[int | None, typer.Option(help="What each stand-in runner keeps.")] = None,
) -> None:
    """Measure a way to draw in virtual time; prints one line of JSON."""
    from finchswitch.programs.rehearse import run_measure
    from finchswitch.simulation.measure import Trial

    trial = Trial(deployment, condition, draw, seed, seconds, hot_most, spill_share, belief_ms, cache_tokens)
    raise typer.Exit(run_measure(trial))


@app.command()
def verify(
    data: Annotated[Path, typer.Argument(help="A control node's data folder.")],
    as_json: Annotated[bool, typer.Option("--json", help="What it holds as JSON.")] = False,
) -> None:
    """Read a data folder offline: whether it is whole, and what it holds. Exit code 1 when anything is wrong."""
    from finchswitch.programs.verify import verify_folder

    try:
        held, wrong = verify_folder(data)
    except FleetError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(2) from None
    if as_json:
        typer.echo(json.dumps({"held": held, "wrong": wrong}, indent=2))
    else:
        typer.echo(f"store {held['store'] or 'none'} of fleet {held['fleet'] or 'none'}")
        for part, shown in held["parts"].items():
            typer.echo(f"{part}: " + ", ".join(f"{name} {value}" for name, value in shown.items()))
        for fault in wrong:
            typer.echo(f"wrong: {fault}", err=True)
    raise typer.Exit(1 if wrong else 0)


@app.command("check-model")
def check_model(
    scenario: Annotated[str, typer.Argument(help="A scenario's name, or all.")] = "all",
    depth: Annotated[int, typer.Option(help="Longest schedule, in steps.")] = 100,
    more: Annotated[int, typer.Option(help="How often more each trouble of a scenario may come.")] = 0,
    states: Annotated[int, typer.Option(help="Most states of one scenario.")] = 10_000_000,
    seconds: Annotated[float, typer.Option(help="Longest time for all scenarios together.")] = 600.0,
) -> None:
    """Search the schedules of a small fleet's control side, with the real code, for one that breaks an invariant."""
    from finchswitch.checking.search import Limits
    from finchswitch.programs.check import run_check

    raise typer.Exit(run_check(scenario, more, Limits(depth, states, seconds)))


@app.command()
def slopes(
    only: Annotated[str, typer.Option(help="Measure the subjects whose name begins so; all otherwise.")] = "",
    effort_ms: Annotated[float, typer.Option(help="Processor time spent on each of three batches of an act.")] = 50.0,
) -> None:
    """Measure what the fleet's repeated acts cost as lines over their sizes; prints JSON."""
    from finchswitch.programs.rehearse import run_slopes

    raise typer.Exit(run_slopes(only, effort_ms))


@app.command()
def hollow(
    nodes: Annotated[int, typer.Option(help="Hollow nodes before three control nodes.")] = 20,
    seed: Annotated[int, typer.Option(help="The seed.")] = 1,
    peers: Annotated[int | None, typer.Option(help="Peers that a node beats at most; all of them otherwise.")] = None,
) -> None:
    """Run nodes that only keep their place, in virtual time, and print what each sends and how fast a change is."""
    from finchswitch.programs.rehearse import run_scale

    raise typer.Exit(run_scale(nodes, seed, peers))


@app.command()
def days(
    kinds: Annotated[Path, typer.Argument(help="The printed list of the kinds of trouble of a deployment.")],
    out: Annotated[Path, typer.Option(help="The folder to write the days into, one TOML file a day.")],
    shape: Annotated[Shape, typer.Option(help="What a day is made of.")] = Shape.ALL,
    seed: Annotated[int, typer.Option(help="The seed; the same seed writes the same days.")] = 1,
    count: Annotated[int, typer.Option(min=1, help="How many days.")] = 10,
) -> None:
    """Write days of trouble for a deployment's test bench, made of the kinds that it lists."""
    raise typer.Exit(write_days(kinds, out, shape, seed, count))


@app.command()
def tolerance(
    loss: Annotated[str, typer.Argument(help="wiped, replaced, leaving, or both: a wiped and a replaced one.")],
    losses: Annotated[int, typer.Option(help="Machines that the deployment may lose: f, of 2f+1.")] = 1,
    count: Annotated[int, typer.Option(help="Machines lost at once, at most f.")] = 1,
    disk_factor: Annotated[float, typer.Option(help="How many times slower than 5 ms a sync is.")] = 1.0,
    seed: Annotated[int, typer.Option(help="The seed.")] = 1,
) -> None:
    """Lose control machines in virtual time; prints when each part has its full tolerance again. 1 when too late."""
    from finchswitch.programs.tolerance import run_tolerance
    from finchswitch.simulation.tolerance import ToleranceTrial

    raise typer.Exit(run_tolerance(ToleranceTrial(loss, losses, count, disk_factor, seed=seed)))


def main() -> None:
    for found in entry_points(group="finchswitch.commands"):  # what an adapter adds
        app.command(found.name)(found.load())
    app()
