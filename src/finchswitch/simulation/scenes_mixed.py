"""A scene of everything: faults of all kinds, one over the other, while operators change and callers call."""

from collections.abc import Callable, Coroutine
from typing import Any

import anyio

from finchswitch.simulation.cluster import Cluster
from finchswitch.simulation.scenes import accords, close_up, during, open_up, scene, transits

_Fault = Callable[[Cluster], Coroutine[Any, Any, None]]


async def _kill_one(cluster: Cluster) -> None:
    name = cluster.chance.choice([*accords(cluster), *transits(cluster)])
    if cluster.processes[name].group is None:
        return
    cluster.kill(name, power=cluster.chance.random() < 0.5)
    await cluster.outside.sleep(cluster.chance.uniform(100, 3_000))
    cluster.start(name)


async def _freeze_one(cluster: Cluster) -> None:
    name = cluster.chance.choice([*accords(cluster), *transits(cluster)])
    cluster.freeze(name)
    await cluster.outside.sleep(cluster.chance.uniform(200, 5_000))
    cluster.thaw(name)


async def _cut_some(cluster: Cluster) -> None:
    names = [*accords(cluster), *transits(cluster)]
    one = cluster.chance.choice(names)
    others = cluster.chance.sample([name for name in names if name != one], cluster.chance.randint(1, 5))
    both = cluster.chance.random() < 0.6
    cluster.isolate(one, others, both)
    await cluster.outside.sleep(cluster.chance.uniform(300, 4_000))
    for other in others:
        cluster.net.heal(cluster.processes[one].host, cluster.processes[other].host)
        cluster.net.heal(cluster.processes[other].host, cluster.processes[one].host)


async def _bad_disk(cluster: Cluster) -> None:
    disk = cluster.disks[cluster.chance.choice(accords(cluster))]
    disk.full = cluster.chance.random() < 0.5
    disk.slow_ms = cluster.chance.choice([0.0, 200.0, 800.0])
    await cluster.outside.sleep(cluster.chance.uniform(300, 2_500))
    disk.full, disk.slow_ms = False, 0.0


async def _bad_runner(cluster: Cluster) -> None:
    names = sorted(name for name in cluster.runners if cluster.processes[name].group is not None)
    name = cluster.chance.choice(names)
    runner = cluster.runners[name]
    what = cluster.chance.choice(["half", "refuse", "dark", "leave"])
    if what != "leave":
        cluster.failing(name)
    if what == "half":
        runner.break_after = cluster.chance.randint(0, 6)
    elif what == "refuse":
        runner.refusing = True
    elif what == "dark":
        cluster.freeze(name)
    elif name in cluster.platform.points and len(cluster.platform.points) > 3:
        cluster.leave(name)
        cluster.start_runner(runner.runner, f"{runner.runner}-m{len(cluster.runners)}")
    await cluster.outside.sleep(cluster.chance.uniform(300, 2_500))
    runner.break_after, runner.refusing = None, False
    cluster.thaw(name)


async def _blind_platform(cluster: Cluster) -> None:
    cluster.platform.failing = True
    await cluster.outside.sleep(cluster.chance.uniform(200, 4_000))
    cluster.platform.failing = False


_FAULTS: list[_Fault] = [_kill_one, _freeze_one, _cut_some, _bad_disk, _bad_runner, _blind_platform]


@scene
async def everything(cluster: Cluster) -> None:
    """Faults of all kinds begin at any moment and overlap."""

    async def faults(_: Cluster) -> None:
        async with anyio.create_task_group() as group:
            for _at in range(14):
                group.start_soon(cluster.chance.choice(_FAULTS), cluster)
                await cluster.outside.sleep(cluster.chance.uniform(100, 1_800))

    await open_up(cluster)
    await during(cluster, 16_000, faults, changes=12)
    await close_up(cluster)
