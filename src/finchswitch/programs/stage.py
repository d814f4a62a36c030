"""stage: a whole fleet on this machine, each node a process, with stand-ins, callers, and a report.

With faults on, a move plan goes under way, every routing node is stopped and started again in turn, and one
control node is killed outright and started again on its data folder. The report says what callers got and which
points of what must never happen were broken.
"""

import json
import shutil
import signal
import tempfile
from dataclasses import asdict
from pathlib import Path
from typing import Any

import anyio
import httpx
import typer

from finchswitch.programs.fleet import Fleet
from finchswitch.rehearsal.callers import Desk, call_openly
from finchswitch.rehearsal.checkers import judge
from finchswitch.rehearsal.deployments import DEPLOYMENTS, Deployment
from finchswitch.rehearsal.history import Change, History
from finchswitch.rehearsal.report import make_report, print_report
from finchswitch.wire.real import RealWorld

__all__ = ["run_stage"]


def run_stage(
    name: str, seconds: int, seed: int, share: float, faults: bool, keep: Path | None, as_json: bool
) -> int:
    if name != "both" and name not in DEPLOYMENTS:
        typer.echo(f"deployment: {name} is none of both, {', '.join(sorted(DEPLOYMENTS))}", err=True)
        return 2
    root = keep or Path(tempfile.mkdtemp(prefix="finchswitch-stage-"))
    names = ["hobart", "zuerich"] if name == "both" else [name]
    codes = [_stage(DEPLOYMENTS[each], seconds, seed, share, faults, root / each, as_json) for each in names]
    return max(codes)


def _stage(
    deployment: Deployment, seconds: int, seed: int, share: float, faults: bool, folder: Path, as_json: bool
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


async def _run(
    deployment: Deployment, seconds: int, seed: int, share: float, faults: bool, folder: Path
) -> History:
    history = History()
    async with anyio.create_task_group() as group:
        world = RealWorld(seed)
        fleet = Fleet(deployment, folder)
        try:
            await _rehearse(world, fleet, group, history, seconds, share, faults)
        finally:
            fleet.stop_all()
        history.runs = fleet.read_runs()
        history.allowed = set(fleet.incarnations.values())
        group.cancel_scope.cancel()
    return history


async def _rehearse(
    world: RealWorld, fleet: Fleet, group: Any, history: History, seconds: int, share: float, faults: bool
) -> None:
    fleet.start_all()
    async with httpx.AsyncClient(trust_env=False, timeout=10) as client:
        await fleet.list_runners(client, history, world)
        founded = await _until(world, fleet.founded, client, 20_000)
        history.notes["foundedMs"] = founded
        change = await _change(world, client, fleet, history, 0, {"configuration": fleet.deployment.creed()}, "first")
        desk = Desk(world, fleet.doors())
        group.start_soon(desk.look)
        history.notes["readyMs"] = await _until(world, lambda _: _all_ready(desk), client, 20_000)
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=50)
        async with httpx.AsyncClient(trust_env=False, limits=limits) as callers, anyio.create_task_group() as calling:
            untilMs = world.nowMs() + 1000 * seconds
            for traffic in fleet.deployment.traffic:
                scaled = type(traffic)(**{**asdict(traffic), "perS": traffic.perS * share})
                calling.start_soon(call_openly, world, desk, scaled, history, untilMs, callers, calling)
            if faults:
                calling.start_soon(_faults, world, client, fleet, desk, history, change.generation, seconds)
        history.notes["vitals"] = await fleet.vitals(client)


async def _all_ready(desk: Desk) -> bool:
    return len(desk.ready) == len(desk.nodes) and all(desk.ready.values())


async def _until(world: RealWorld, holds: Any, client: httpx.AsyncClient, mostMs: float) -> float:
    beganMs = world.nowMs()
    while not await holds(client):
        if world.nowMs() - beganMs > mostMs:
            raise RuntimeError(f"{holds} did not come about in {mostMs:.0f} ms")
        await world.sleep(50)
    return round(world.nowMs() - beganMs)


async def _change(
    world: RealWorld,
    client: httpx.AsyncClient,
    fleet: Fleet,
    history: History,
    base: int,
    content: dict[str, Any],
    changeId: str,
) -> Change:
    change = Change(changeId, base, world.nowMs(), mark="")
    history.changes.append(change)
    for _ in range(5):
        try:
            url = f"http://{world.chance.choice(fleet.desks())}/v1/changes"
            response = await client.post(url, json={"changeId": changeId, "base": base, **content})
            answer = response.json()
        except (httpx.HTTPError, ValueError):
            continue
        change.status, change.generation = response.status_code, answer.get("generation", -1)
        change.answeredMs = world.nowMs()
        if change.status not in (503, 504):
            break
    history.notes.setdefault("changes", []).append([changeId, change.status, round(change.answeredMs - change.sentMs)])
    return change


async def _faults(
    world: RealWorld,
    client: httpx.AsyncClient,
    fleet: Fleet,
    desk: Desk,
    history: History,
    base: int,
    seconds: int,
) -> None:
    """A move plan, a killed control node, and a rolling stop, one after the other, over the calling time."""
    deployment = fleet.deployment
    await world.sleep(1000 * seconds * 0.1)
    leaving, bindings = deployment.runner_names()[0], [each.service for each in deployment.traffic]
    plan = {"leaving": [leaving], "arriving": deployment.spare, "bindings": bindings}
    edits = [{"kind": "plans", "name": "move", "value": plan}]
    moved = await _change(world, client, fleet, history, base, {"edits": edits}, "move")
    await world.sleep(1000 * seconds * 0.1)
    fleet.signal("accord1", signal.SIGKILL)
    await world.sleep(1000 * seconds * 0.05)
    settings = [{"kind": "settings", "name": "spillShare", "value": 0.85}]
    await _change(world, client, fleet, history, moved.generation, {"edits": settings}, "while-one-is-gone")
    fleet.start("accord1")
    pauseMs = 1000 * seconds * 0.6 / len(desk.nodes)
    for name in sorted(desk.nodes):
        beganMs = world.nowMs()
        await fleet.stop_softly(name, world)
        fleet.start(name)
        await world.sleep(max(0.0, pauseMs - (world.nowMs() - beganMs)))
