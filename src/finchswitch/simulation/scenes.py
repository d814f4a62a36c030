"""What scenes are made of, and the one in which nothing fails.

Each scene brings about one kind of failure on a whole fleet, under calls and changes, at moments drawn from the
seed. It may say what it expects beyond the checkers, through ``expect``.
"""

from collections.abc import Awaitable, Callable
from itertools import cycle
from typing import Any

import anyio

from finchswitch.constants import SCENE_READ_MS
from finchswitch.simulation.cluster import Cluster

__all__ = [
    "SCENES",
    "Scene",
    "accords",
    "change_often",
    "close_up",
    "during",
    "expect",
    "mark_edit",
    "open_up",
    "pause",
    "read_back",
    "read_often",
    "scene",
    "transits",
]

Scene = Callable[[Cluster], Awaitable[None]]
SCENES: dict[str, Scene] = {}


def scene(run: Scene) -> Scene:
    SCENES[run.__name__.replace("_", "-")] = run
    return run


def mark_edit(mark: str) -> dict[str, Any]:
    return {"edits": [{"kind": "services", "name": mark, "value": {"dueMs": 5_000}}]}


def expect(cluster: Cluster, holds: bool, what: str) -> None:
    cluster.history.notes.setdefault("expected", []).append([what, holds])


async def open_up(cluster: Cluster) -> None:
    """Found the fleet, give it its configuration, and wait until it is ready."""
    await cluster.insist({"configuration": cluster.deployment.configuration()})
    expect(cluster, await cluster.settle(), "the fleet becomes ready")


async def change_often(cluster: Cluster, count: int, pause_ms: float, who: str = "") -> None:
    for at in range(count):
        await cluster.insist(mark_edit(f"mark-{who}{at}"), f"mark-{who}{at}")
        await cluster.outside.sleep(cluster.chance.uniform(0, 2 * pause_ms))


async def close_up(cluster: Cluster) -> None:
    """Heal everything, let it settle, call a little, and read what each node believes."""
    cluster.net.heal_all()
    for process in cluster.processes.values():
        cluster.net.machine(process.host).thaw()
        if process.group is None and process.kind != "runner":
            cluster.start(process.name)
    for disk in cluster.disks.values():
        disk.full, disk.failing, disk.slow_ms = False, False, 0.0
    expect(cluster, await cluster.settle(), "the fleet is ready again")
    final = await cluster.insist(mark_edit("mark-final"), "mark-final")
    expect(cluster, final.status in (200, 202), "a change is taken at the end")
    await cluster.outside.sleep(2_500)
    await cluster.call(1_500, 1.0, "-last")
    last = [call for call in cluster.history.calls if "-last-" in call.request_id]
    good = sum(call.outcome == "complete" for call in last)
    expect(cluster, good >= 0.7 * len(last), f"service at the end: {good} of {len(last)}")
    await cluster.read_confirmed()
    read_back(cluster, final.generation)


def read_back(cluster: Cluster, newest: int) -> None:
    """Note what each node that runs believes: the marks of changes it holds, and whether it holds the newest."""
    for process in cluster.processes.values():
        plane = process.node or process.control
        if plane is not None and process.group is not None:
            body = plane.news.body("creed")
            generation = plane.news.generation("creed")
            expect(cluster, generation == newest, f"{process.name} holds the newest generation")
            for name in body.get("services", {}):
                if name.startswith("mark-"):
                    cluster.history.marks.append((process.name, generation, name))


async def read_often(cluster: Cluster, for_ms: float) -> None:
    """Confirmed reads for a while, at each control node in turn."""
    until_ms = cluster.now_ms() + for_ms
    for name in cycle(cluster.control_nodes()):
        if cluster.now_ms() >= until_ms:
            return
        await cluster.read_confirmed(at=name)
        await cluster.outside.sleep(SCENE_READ_MS)


async def during(cluster: Cluster, for_ms: float, faults: Scene, changes: int = 6) -> None:
    """Call, change and read for a while, with the faults in between."""
    async with anyio.create_task_group() as group:
        group.start_soon(cluster.call, for_ms, 1.0)
        group.start_soon(read_often, cluster, for_ms)
        group.start_soon(change_often, cluster, changes, for_ms / changes / 2)
        await faults(cluster)


def accords(cluster: Cluster) -> list[str]:
    return [process.name for process in cluster.of_kind("accord")]


def transits(cluster: Cluster) -> list[str]:
    return [process.name for process in cluster.of_kind("transit")]


async def pause(cluster: Cluster, most_ms: float) -> None:
    await cluster.outside.sleep(cluster.chance.uniform(0.2, 1.0) * most_ms)


@scene
async def steady(cluster: Cluster) -> None:
    """Nothing fails."""

    async def nothing(_: Cluster) -> None:
        await cluster.outside.sleep(100)

    await open_up(cluster)
    await during(cluster, 6_000, nothing)
    await close_up(cluster)
    short = sum(call.outcome != "complete" for call in cluster.history.calls)
    expect(cluster, short == 0, f"{short} calls not complete")
