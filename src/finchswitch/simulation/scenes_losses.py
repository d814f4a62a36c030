"""Scenes of great losses: everything at once, a whole district, the fleet divided, an owner half cut, bad links."""

from collections import Counter

import anyio

from finchswitch.constants import CONFIGURATION_PART
from finchswitch.simulation.cluster import Cluster
from finchswitch.simulation.scenes import (
    accords,
    change_often,
    close_up,
    during,
    expect,
    mark_edit,
    open_up,
    pause,
    scene,
    transits,
)


def _served(cluster: Cluster, from_ms: float, seconds: int) -> list[int]:
    """Calls that ended whole in each second from then on."""
    boot_ms = cluster.outside.now_ms() - cluster.now_ms()
    ended = Counter(
        int((c.end_ms - boot_ms - from_ms) // 1000) for c in cluster.history.calls if c.outcome == "complete"
    )
    return [ended[second] for second in range(seconds)]


@scene
async def whole_loss(cluster: Cluster) -> None:
    """Core, routing nodes and runners lose power together; what returns, returns in one of four ways.

    Runners return under new incarnations with nothing kept. Callers go on calling and come back by Retry-After.
    """
    await open_up(cluster)
    await cluster.insist(mark_edit("mark-before"), "mark-before")
    way = cluster.chance.choice(["together", "one by one", "a core never", "a core empty"])
    async with anyio.create_task_group() as group:
        group.start_soon(cluster.call, 31_000, 1.0, "", 3)
        await cluster.outside.sleep(8_000)
        normal = sum(_served(cluster, cluster.now_ms() - 4_000, 4)) / 4
        own = [*accords(cluster), *transits(cluster)]
        names = [*cluster.deployment.runner_names(), *cluster.deployment.spare]
        for name in own:
            cluster.kill(name, power=True)
        for name in names:
            cluster.kill(f"{name}-i1", power=True)
        await cluster.outside.sleep(4_000)
        lost = accords(cluster)[0]
        if way == "a core empty":
            cluster.disks.pop(lost)
            cluster.processes[lost].host = "10.0.9.21"
        for name in names:
            host = cluster.processes[f"{name}-i1"].host
            cluster.net.lighten(host)
            cluster.platform.remove(f"{name}-i1")
            cluster.start_runner(name, f"{name}-i2", host)
        for name in own:
            if way != "a core never" or name != lost:
                cluster.start(name)
                await cluster.outside.sleep(500 if way == "one by one" else 0)
        back_ms = cluster.now_ms()
    series = _served(cluster, back_ms, 16)
    cluster.history.notes["served each second"] = [way, round(normal, 1), series]
    at12 = sum(series[11:14]) / 3
    expect(cluster, at12 >= 0.5 * normal, f"{way}: {at12:.1f} a second at 12 s, {normal:.1f} before: {series}")
    if way != "a core never":
        await close_up(cluster)


@scene
async def district_lost(cluster: Cluster) -> None:
    """A whole district loses power and returns; then one is cut off from all others and the core, and healed."""

    async def faults(_: Cluster) -> None:
        districts = sorted(set(cluster.deployment.districts))
        for what in ("power", "cut"):
            district = cluster.chance.choice(districts)
            names = [process.name for process in cluster.of_kind("transit") if process.district == district]
            others = [name for name in [*transits(cluster), *accords(cluster)] if name not in names]
            await pause(cluster, 1_500)
            for name in names:
                if what == "power":
                    cluster.kill(name, power=True)
                else:
                    cluster.isolate(name, others)
            await cluster.outside.sleep(cluster.chance.uniform(3_000, 5_000))
            for name in names if what == "power" else []:
                cluster.start(name)
            cluster.net.heal_all()
            await cluster.outside.sleep(1_500)

    await open_up(cluster)
    await during(cluster, 14_000, faults, changes=10)
    await close_up(cluster)


@scene
async def divided(cluster: Cluster) -> None:
    """A cut goes through light and core machines together: a side with one core and some nodes, and the rest."""

    async def faults(_: Cluster) -> None:
        for _at in range(2):
            some = cluster.chance.sample(transits(cluster), cluster.chance.randint(1, len(transits(cluster)) - 1))
            side = [cluster.chance.choice(accords(cluster)), *some]
            rest = [name for name in [*accords(cluster), *transits(cluster)] if name not in side]
            for name in side:
                cluster.isolate(name, rest)
            await cluster.outside.sleep(cluster.chance.uniform(2_000, 5_000))
            cluster.net.heal_all()
            await pause(cluster, 2_000)

    await open_up(cluster)
    await during(cluster, 14_000, faults, changes=16)
    await close_up(cluster)


@scene
async def owner_half_cut(cluster: Cluster) -> None:
    """The owner hears the others' beats, but what it says is lost on the way, while changes come in a storm."""

    async def faults(_: Cluster) -> None:
        for _at in range(3):
            councils = {a.name: a.control for a in cluster.of_kind("accord")}
            owner = next((n for n, c in councils.items() if c and c.proposers[CONFIGURATION_PART].owns()), "accord1")
            cluster.isolate(owner, [name for name in councils if name != owner], both=False)
            await cluster.outside.sleep(cluster.chance.uniform(1_500, 3_500))
            cluster.net.heal_all()
            await pause(cluster, 1_500)

    await open_up(cluster)
    async with anyio.create_task_group() as group:
        group.start_soon(change_often, cluster, 12, 300, "s")
        await during(cluster, 11_000, faults, changes=10)
    await close_up(cluster)


@scene
async def bad_links(cluster: Cluster) -> None:
    """Links to one control node and to one district become slow and lose a tenth of what is sent over them."""

    async def faults(_: Cluster) -> None:
        district = cluster.chance.choice(sorted(set(cluster.deployment.districts)))
        hosts = [process.host for process in cluster.of_kind("transit") if process.district == district]
        hosts.append(cluster.processes[cluster.chance.choice(accords(cluster))].host)
        for slow_ms, lost_share in ((60.0, 0.0), (20.0, 0.1)):
            cluster.net.bad = {host: (slow_ms, lost_share) for host in hosts}
            await cluster.outside.sleep(4_000)
            cluster.net.bad = {}
            await cluster.outside.sleep(1_000)

    await open_up(cluster)
    await during(cluster, 11_000, faults, changes=12)
    cluster.net.bad = {}
    await close_up(cluster)


@scene
async def change_storm(cluster: Cluster) -> None:
    """Operators race and send many in a row, one of them hundreds of bindings, while relays and a node are lost."""
    await open_up(cluster)
    runners, stop_ms = cluster.deployment.runner_names(), cluster.now_ms() + 12_000

    async def operate(who: int) -> None:
        base, at = cluster.newest(), 0
        while cluster.now_ms() < stop_ms:
            at += 1
            mark = f"mark-{who}-{at}"
            edits = list(mark_edit(mark)["edits"])
            if who == 0 and at == 3:
                for number in range(400):
                    name = f"many-{at}-{number}"
                    edits.append({"kind": "services", "name": name, "value": {}})
                    edits.append({"kind": "bindings", "name": name, "value": {"service": name, "runners": runners}})
            change = await cluster.change(base, {"edits": edits}, mark)
            while change.status in (0, 504):
                await cluster.outside.sleep(100)
                change = await cluster.change(base, {"edits": edits}, mark, change_id=change.change_id, again=True)
            base = change.generation if change.generation >= 0 else cluster.newest()
            await cluster.outside.sleep(cluster.chance.uniform(0, 250))

    async with anyio.create_task_group() as group:
        group.start_soon(cluster.call, 12_000, 0.5)
        for who in range(3):
            group.start_soon(operate, who)
        for _ in range(3):
            await pause(cluster, 2_000)
            name = cluster.chance.choice(transits(cluster))
            cluster.kill(name, power=cluster.chance.random() < 0.5)
            await pause(cluster, 2_500)
            cluster.start(name)
    statuses = Counter(change.status for change in cluster.history.changes)
    waits = sorted(c.answered_ms - c.sent_ms for c in cluster.history.changes if c.status == 200)
    cluster.history.notes["storm"] = [dict(statuses), round(waits[len(waits) // 2]), round(waits[-1])]
    expect(cluster, statuses[202] <= 0.1 * statuses[200], f"202 is rare with one node lost: {dict(statuses)}")
    await close_up(cluster)
