"""Scenes that break the core: control nodes killed, emptied, cut, their disks gone bad, operators in a race."""

import anyio

from finchswitch.simulation.cluster import Cluster
from finchswitch.simulation.scenes import accords, close_up, during, expect, mark_edit, open_up, pause, scene, transits


@scene
async def core_kills(cluster: Cluster) -> None:
    """One control node after another is killed and started again, the owner among them."""

    async def faults(_: Cluster) -> None:
        for _at in range(4):
            await pause(cluster, 1_500)
            owner = next((a for a in accords(cluster) if _owns(cluster, a)), "accord1")
            name = owner if cluster.chance.random() < 0.6 else cluster.chance.choice(accords(cluster))
            cluster.kill(name, power=cluster.chance.random() < 0.5)
            await pause(cluster, 2_500)
            cluster.start(name)

    await open_up(cluster)
    await during(cluster, 9_000, faults)
    await close_up(cluster)


def _owns(cluster: Cluster, name: str) -> bool:
    control = cluster.processes[name].control
    return control is not None and cluster.processes[name].group is not None and control.proposers["creed"].owns()


@scene
async def core_power(cluster: Cluster) -> None:
    """All control nodes lose power at once, just after a yes, and come back with what was synced."""

    async def faults(_: Cluster) -> None:
        for _at in range(2):
            await pause(cluster, 1_500)
            change = await cluster.insist(mark_edit(f"mark-p{_at}"), f"mark-p{_at}")
            expect(cluster, change.status in (200, 202), "taken before the power goes")
            for name in accords(cluster):
                cluster.kill(name, power=True)
            await pause(cluster, 2_000)
            for name in accords(cluster):
                cluster.start(name)

    await open_up(cluster)
    await during(cluster, 8_000, faults)
    await close_up(cluster)


@scene
async def core_empty(cluster: Cluster) -> None:
    """Two control machines in sequence are lost for good and come back empty at new addresses."""

    async def faults(_: Cluster) -> None:
        for at, name in enumerate(cluster.chance.sample(accords(cluster), 2)):
            cluster.kill(name, power=True)
            cluster.disks[name].wipe()
            await pause(cluster, 1_000)
            cluster.processes[name].host = f"10.0.9.{11 + at}"
            cluster.disks.pop(name)
            cluster.start(name)
            await cluster.outside.sleep(9_000)
            councils = [cluster.processes[each].control for each in accords(cluster)]
            voting = sum(c is not None and c.store.state.value == "voting" for c in councils)
            expect(cluster, voting == 3, f"after loss {at + 1}: {voting} stores vote")

    await open_up(cluster)
    await during(cluster, 18_000, faults)
    await close_up(cluster)


@scene
async def core_empty_quiet(cluster: Cluster) -> None:
    """Two control machines in sequence are lost and come back empty, with no change in between to help."""
    await open_up(cluster)
    for at, name in enumerate(cluster.chance.sample(accords(cluster), 2)):
        cluster.kill(name, power=True)
        cluster.disks[name].wipe()
        cluster.processes[name].host = f"10.0.9.{11 + at}"
        cluster.disks.pop(name)
        cluster.start(name)
        await cluster.outside.sleep(9_000)
    await close_up(cluster)


@scene
async def core_cut(cluster: Cluster) -> None:
    """The core is cut in two, one node is cut one way, and then all of it is cut off from the routing nodes."""

    async def faults(_: Cluster) -> None:
        names, nodes = accords(cluster), transits(cluster)
        lone = cluster.chance.choice(names)
        cluster.isolate(lone, [name for name in names if name != lone])
        await pause(cluster, 3_000)
        cluster.net.heal_all()
        lone = cluster.chance.choice(names)
        cluster.isolate(lone, [name for name in names if name != lone], both=False)
        await pause(cluster, 3_000)
        cluster.net.heal_all()
        for name in names:
            cluster.isolate(name, nodes)
        await pause(cluster, 4_000)
        cluster.net.heal_all()

    await open_up(cluster)
    await during(cluster, 11_000, faults)
    await close_up(cluster)


@scene
async def disks(cluster: Cluster) -> None:
    """Disks of control nodes fill, slow down, stall, fail, and a newest file is torn."""

    async def faults(_: Cluster) -> None:
        for _at in range(4):
            name = cluster.chance.choice(accords(cluster))
            disk, kind = cluster.disks[name], cluster.chance.choice(["full", "slow", "stall", "fail", "torn"])
            if kind == "torn":
                cluster.kill(name, power=True)
                disk.tear_newest(cluster.chance.choice(["creed", "store", "part-1"]))
                await pause(cluster, 800)
                cluster.start(name)
                await cluster.outside.sleep(7_000)
            disk.full, disk.failing = kind == "full", kind == "fail"
            disk.slow_ms = {"slow": 150.0, "stall": 1_200.0}.get(kind, 0.0)
            await pause(cluster, 2_500)
            disk.full, disk.failing, disk.slow_ms = False, False, 0.0
            await pause(cluster, 800)

    await open_up(cluster)
    await during(cluster, 12_000, faults, changes=10)
    await close_up(cluster)


@scene
async def races(cluster: Cluster) -> None:
    """Several operators build on the same generation at once, at different control nodes, one of them killed."""
    await open_up(cluster)
    for at in range(8):
        base = cluster.newest()
        async with anyio.create_task_group() as group:
            for who in range(3):
                mark = f"mark-{at}-{who}"
                group.start_soon(cluster.change, base, mark_edit(mark), mark)
            if at % 3 == 2:
                name = cluster.chance.choice(accords(cluster))
                await cluster.outside.sleep(cluster.chance.uniform(0, 60))
                cluster.kill(name, power=cluster.chance.random() < 0.5)
                await cluster.outside.sleep(1_500)
                cluster.start(name)
        bad = {"edits": [{"kind": "bindings", "name": "bad", "value": {"service": "none", "runners": []}}]}
        refused = await cluster.change(cluster.newest(), bad)
        expect(cluster, refused.status not in (200, 202), "a broken change is not taken")
    await close_up(cluster)
