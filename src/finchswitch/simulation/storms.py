"""Storms: the core alone under operators in a race, with faults so dense that little stands still.

There are no routing nodes and no callers here, so a run is short and many seeds can be had. What must hold: one
winner a base, nothing acknowledged forgotten, nothing refused in effect, no current read behind what was said.
"""

from typing import Any

import anyio
import httpx

from finchswitch.constants import CONFIGURATION_PART, STORM_MS, STORM_OPERATORS
from finchswitch.simulation.cluster import Cluster
from finchswitch.simulation.history import Read
from finchswitch.simulation.scenes import Scene, expect, mark_edit, read_back

__all__ = ["STORMS", "close_storm"]


async def _operate(cluster: Cluster, who: int) -> None:
    """An operator that builds on what it last heard, whatever that was."""
    base, at = 1, 0
    while cluster.now_ms() < STORM_MS:
        at += 1
        mark = f"mark-{who}-{at}"
        change = await cluster.change(base, mark_edit(mark), mark)
        for _ in range(3):
            if change.status not in (0, 504):
                break
            await cluster.outside.sleep(cluster.chance.uniform(10, 400))
            change = await cluster.change(base, mark_edit(mark), mark, change_id=change.change_id, again=True)
        base = change.generation if change.generation >= 0 else base
        await cluster.outside.sleep(cluster.chance.uniform(10, 400))


async def _read(cluster: Cluster) -> None:
    async with httpx.AsyncClient(transport=cluster.outside.http_transport(), timeout=2) as client:
        while cluster.now_ms() < STORM_MS:
            host, sent_ms = cluster.chance.choice(cluster.of_kind("accord")).host, cluster.now_ms()
            try:
                answer = await client.get(f"http://{host}:8000/v1/configuration?current=true")
                if answer.status_code == 200:
                    cluster.history.reads.append(Read(sent_ms, answer.json()["generation"]))
            except httpx.HTTPError:
                pass
            await cluster.outside.sleep(cluster.chance.uniform(5, 100))


async def close_storm(cluster: Cluster) -> None:
    cluster.net.heal_all()
    for process in cluster.of_kind("accord"):
        cluster.machine(process.name).thaw()
        cluster.disks[process.name].slow_ms = 0.0
        if process.group is None:
            cluster.start(process.name)
    await cluster.outside.sleep(3_000)
    final = await cluster.insist(mark_edit("mark-final"), "mark-final")
    expect(cluster, final.status == 200, "a change is taken at the end")
    await cluster.outside.sleep(1_000)
    read_back(cluster, final.generation)


async def _storm(cluster: Cluster, fault: Any) -> None:
    await cluster.insist({"configuration": cluster.deployment.configuration()})
    async with anyio.create_task_group() as group:
        for who in range(STORM_OPERATORS):
            group.start_soon(_operate, cluster, who)
        group.start_soon(_read, cluster)
        while cluster.now_ms() < STORM_MS:
            await cluster.outside.sleep(cluster.chance.uniform(20, 1_500))
            await fault(cluster)
    await close_storm(cluster)


async def _kill(cluster: Cluster) -> None:
    names = [process.name for process in cluster.of_kind("accord")]
    for name in cluster.chance.sample(names, cluster.chance.choice([1, 1, 2, 3])):
        cluster.kill(name, power=cluster.chance.random() < 0.5)
    await cluster.outside.sleep(cluster.chance.uniform(10, 1_500))
    for name in names:
        if cluster.processes[name].group is None:
            cluster.start(name)


async def _cut(cluster: Cluster) -> None:
    names = [process.name for process in cluster.of_kind("accord")]
    lone = cluster.chance.choice(names)
    others = [name for name in names if name != lone]
    cluster.isolate(lone, cluster.chance.choice([others, others[:1]]), both=cluster.chance.random() < 0.5)
    await cluster.outside.sleep(cluster.chance.uniform(10, 2_500))
    cluster.net.heal_all()


async def _freeze(cluster: Cluster) -> None:
    name = cluster.chance.choice(cluster.of_kind("accord")).name
    if cluster.chance.random() < 0.5:
        cluster.freeze(name)
        await cluster.outside.sleep(cluster.chance.uniform(100, 3_000))
        cluster.thaw(name)
    else:
        cluster.disks[name].slow_ms = cluster.chance.choice([30.0, 300.0, 900.0])
        await cluster.outside.sleep(cluster.chance.uniform(100, 2_000))
        cluster.disks[name].slow_ms = 0.0


async def kills_storm(cluster: Cluster) -> None:
    """Kills and losses of power."""
    await _storm(cluster, _kill)


async def cuts_storm(cluster: Cluster) -> None:
    """Cuts, one way and both."""
    await _storm(cluster, _cut)


async def mixed_storm(cluster: Cluster) -> None:
    """Kills, cuts, freezes and slow disks, one over the other."""

    async def any_of(cluster: Cluster) -> None:
        async with anyio.create_task_group() as group:
            for fault in cluster.chance.sample([_kill, _cut, _freeze], 2):
                group.start_soon(fault, cluster)

    await _storm(cluster, any_of)


async def swap_cut(cluster: Cluster) -> None:
    """A member is cut off until the owner would swap a spare in for it, and then the other member is as well.

    Owner and spare are together on one side then, and the two other members, a majority of the former group, on the
    other. Only one of the sides may take changes.
    """
    await cluster.insist({"configuration": cluster.deployment.configuration()})
    cluster.cast("accord4", "accord", "core", "10.0.9.14")
    cluster.start("accord4")
    await cluster.outside.sleep(2_000)
    councils = {process.name: process.control for process in cluster.of_kind("accord")}
    owner = next(name for name, control in councils.items() if control and control.proposers[CONFIGURATION_PART].owns())
    first, second = cluster.chance.sample([name for name in councils if name not in (owner, "accord4")], 2)
    cluster.isolate(first, [owner, "accord4"])
    await cluster.outside.sleep(cluster.chance.uniform(2_500, 3_900))
    cluster.isolate(second, [owner, "accord4"])
    await cluster.outside.sleep(cluster.chance.uniform(1_500, 3_000))
    async with anyio.create_task_group() as group:
        for at in (owner, "accord4", first, second):
            group.start_soon(_operate_at, cluster, at)
    await close_storm(cluster)


async def _operate_at(cluster: Cluster, at: str) -> None:
    until_ms, base, number = cluster.now_ms() + 8_000, 1, 0
    while cluster.now_ms() < until_ms:
        number += 1
        mark = f"mark-{at}-{number}"
        change = await cluster.change(base, mark_edit(mark), mark, at=at)
        base = change.generation if change.generation >= 0 else base
        await cluster.outside.sleep(cluster.chance.uniform(50, 400))


STORMS: dict[str, Scene] = {"kills-storm": kills_storm, "cuts-storm": cuts_storm, "mixed-storm": mixed_storm}
STORMS["swap-cut"] = swap_cut
