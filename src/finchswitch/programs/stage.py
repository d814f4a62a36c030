"""stage: a whole fleet on this machine, each node a process, with stand-ins, callers, and a report.

The faults are chosen by name: ``planned`` puts a move plan under way, kills one control node and stops and starts
every routing node in turn; ``crash`` kills nodes one by one, ``freeze`` stops processes past every lease, ``loss``
kills all at once, ``runners`` kills and replaces runners, ``storm`` does many things at seeded moments,
``operators`` kills and freezes control nodes under many operators. The report says what callers got and which points
of what must never happen were broken; operators' writes and confirmed reads are judged as those of one register.
"""

import json
import shutil
import tempfile
from dataclasses import asdict
from pathlib import Path
from typing import Any

import anyio
import httpx
import typer

from finchswitch.programs.faults import FAULTS, Hands
from finchswitch.programs.fleet import Fleet
from finchswitch.programs.stage_operator import StageOperator
from finchswitch.simulation.callers import Calling, Desk, call_openly
from finchswitch.simulation.checkers import judge
from finchswitch.simulation.deployments import DEPLOYMENTS, Deployment
from finchswitch.simulation.history import History, Read
from finchswitch.simulation.report import make_report, print_report
from finchswitch.transport.real import RealWorld

__all__ = ["run_stage"]


def run_stage(name: str, seconds: int, seed: int, share: float, faults: str, keep: Path | None, as_json: bool) -> int:
    if name != "both" and name not in DEPLOYMENTS:
        typer.echo(f"deployment: {name} is none of both, {', '.join(sorted(DEPLOYMENTS))}", err=True)
        return 2
    if faults not in FAULTS:
        typer.echo(f"faults: {faults} is none of {', '.join(FAULTS)}", err=True)
        return 2
    root = keep or Path(tempfile.mkdtemp(prefix="finchswitch-stage-"))
    names = ["hobart", "zuerich"] if name == "both" else [name]
    codes = [_stage(DEPLOYMENTS[each], seconds, seed, share, faults, root / each, as_json) for each in names]
    return max(codes)


def _stage(
    deployment: Deployment, seconds: int, seed: int, share: float, faults: str, folder: Path, as_json: bool
) -> int:
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    history = anyio.run(_run, deployment, seconds, seed, share, faults, folder, backend="trio")
    breaches, report = judge(history), make_report(history)
    (folder / "history.json").write_text(json.dumps([asdict(call) for call in history.calls]))
    if as_json:
        typer.echo(json.dumps({"report": report, "breaches": breaches}, indent=2))
    else:
        typer.echo(f"{deployment.name}, logs and data in {folder}")
        print_report(report, breaches)
    return 1 if breaches else 0


async def _run(deployment: Deployment, seconds: int, seed: int, share: float, faults: str, folder: Path) -> History:
    history = History()
    async with anyio.create_task_group() as group:
        world = RealWorld(seed)
        fleet = Fleet(deployment, folder)
        try:
            await _rehearse(world, fleet, group, history, seconds, share, faults)
        finally:
            fleet.stop_all()
        fleet.read_runs(history)
        history.allowed = set(fleet.addresses)
        group.cancel_scope.cancel()
    return history


async def _rehearse(
    world: RealWorld, fleet: Fleet, group: Any, history: History, seconds: int, share: float, faults: str
) -> None:
    fleet.start_all()
    async with httpx.AsyncClient(trust_env=False, timeout=10) as client:
        await fleet.list_runners(client, history, world)
        founded = await _until(world, fleet.founded, client, 20_000)
        history.notes["foundedMs"] = founded
        operator = StageOperator(world, fleet, history, client)
        await operator.insist(0, {"configuration": fleet.deployment.configuration()}, "first")
        desk = Desk(world, fleet.doors(), sights=history.sights)
        group.start_soon(desk.look)
        history.notes["readyMs"] = await _until(world, lambda _: _all_ready(desk), client, 20_000)
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=50)
        async with httpx.AsyncClient(trust_env=False, limits=limits) as callers, anyio.create_task_group() as calling:
            until_ms = world.now_ms() + 1000 * seconds
            for traffic in fleet.deployment.traffic:
                scaled = type(traffic)(**{**asdict(traffic), "per_s": traffic.per_s * share})
                calling.start_soon(call_openly, Calling(world, desk, scaled, history, callers, calling), until_ms)
            calling.start_soon(operator.read_often, until_ms)
            await FAULTS[faults](Hands(operator, desk, seconds))
        await _read_back(operator)
        history.notes["vitals"] = await fleet.vitals(client)


async def _all_ready(desk: Desk) -> bool:
    return len(desk.ready) == len(desk.nodes) and all(desk.ready.values())


async def _read_back(operator: StageOperator) -> None:
    """What the fleet says at the end: its configuration, which must be confirmed, and where plans stand."""
    history = operator.history
    read = await operator.read_confirmed()
    if read.unanswered:
        history.reads.append(Read(read.sent_ms, -1))  # one that the checkers find behind
    try:
        address = operator.fleet.http_address(operator.fleet.running_controls()[0])
        history.notes["plans"] = (await operator.client.get(f"http://{address}/v1/plans")).json()["plans"]
    except (httpx.HTTPError, IndexError) as error:
        history.notes["read back"] = repr(error)


async def _until(world: RealWorld, holds: Any, client: httpx.AsyncClient, most_ms: float) -> float:
    began_ms = world.now_ms()
    while not await holds(client):
        if world.now_ms() - began_ms > most_ms:
            raise RuntimeError(f"{holds} did not come about in {most_ms:.0f} ms")
        await world.sleep(50)
    return round(world.now_ms() - began_ms)
