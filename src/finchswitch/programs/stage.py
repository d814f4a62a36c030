"""stage: a whole fleet on this machine, each node a process, with stand-ins, callers, and a report.

The faults are chosen by name: ``planned`` puts a move plan under way, kills one control node and stops and starts
every routing node in turn; ``crash`` kills nodes one by one, ``freeze`` stops processes past every lease, ``loss``
kills all at once, ``runners`` kills and replaces runners, ``storm`` does many things at seeded moments. The report
says what callers got and which points of what must never happen were broken.
"""

import json
import shutil
import tempfile
from dataclasses import asdict
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import httpx
import typer

from finchswitch.programs.faults import FAULTS, Hands
from finchswitch.programs.fleet import Fleet
from finchswitch.simulation.callers import Calling, Desk, call_openly
from finchswitch.simulation.checkers import judge
from finchswitch.simulation.deployments import DEPLOYMENTS, Deployment
from finchswitch.simulation.history import Change, History, Read
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
        await _change(world, client, fleet, history, 0, {"configuration": fleet.deployment.configuration()}, "first")
        desk = Desk(world, fleet.doors(), sights=history.sights)
        group.start_soon(desk.look)
        history.notes["readyMs"] = await _until(world, lambda _: _all_ready(desk), client, 20_000)
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=50)
        async with httpx.AsyncClient(trust_env=False, limits=limits) as callers, anyio.create_task_group() as calling:
            until_ms = world.now_ms() + 1000 * seconds
            for traffic in fleet.deployment.traffic:
                scaled = type(traffic)(**{**asdict(traffic), "per_s": traffic.per_s * share})
                calling.start_soon(call_openly, Calling(world, desk, scaled, history, callers, calling), until_ms)
            operate = partial(_change, world, client, fleet, history)
            await FAULTS[faults](Hands(world, fleet, desk, history, client, operate, seconds))
        await _read_back(client, fleet, history)
        history.notes["vitals"] = await fleet.vitals(client)


async def _all_ready(desk: Desk) -> bool:
    return len(desk.ready) == len(desk.nodes) and all(desk.ready.values())


async def _read_back(client: httpx.AsyncClient, fleet: Fleet, history: History) -> None:
    """What the fleet says at the end: its generation, and where plans stand."""
    try:
        address = fleet.desks()[0]
        read = (await client.get(f"http://{address}/v1/configuration?current=true")).json()
        history.reads.append(Read(max(change.answered_ms for change in history.changes), read.get("generation", -1)))
        history.notes["plans"] = (await client.get(f"http://{address}/v1/plans")).json()["plans"]
    except (httpx.HTTPError, IndexError) as error:
        history.notes["read back"] = repr(error)


async def _until(world: RealWorld, holds: Any, client: httpx.AsyncClient, most_ms: float) -> float:
    began_ms = world.now_ms()
    while not await holds(client):
        if world.now_ms() - began_ms > most_ms:
            raise RuntimeError(f"{holds} did not come about in {most_ms:.0f} ms")
        await world.sleep(50)
    return round(world.now_ms() - began_ms)


async def _change(
    world: RealWorld,
    client: httpx.AsyncClient,
    fleet: Fleet,
    history: History,
    base: int,
    content: dict[str, Any],
    change_id: str,
) -> Change:
    change = Change(change_id, base, world.now_ms(), mark="", content=content)
    history.changes.append(change)
    for at in range(5):
        try:
            url = f"http://{world.chance.choice(fleet.desks())}/v1/changes"
            response = await client.post(url, json={"changeId": change_id, "base": base, "again": at > 0, **content})
            answer = response.json()
        except (httpx.HTTPError, ValueError):
            continue
        change.status, change.generation = response.status_code, int(answer.get("generation", -1))
        change.answered_ms = world.now_ms()
        if change.status not in (503, 504):
            break
    history.notes.setdefault("changes", []).append(
        [change_id, change.status, round(change.answered_ms - change.sent_ms)]
    )
    return change
