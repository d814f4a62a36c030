"""Scenes of great losses: everything at once, a whole district, the fleet divided, an owner half cut, bad links."""

from collections import Counter

import anyio

from finchswitch.constants import CREED_PART
from finchswitch.rehearsal.scenes import (
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
from finchswitch.rehearsal.theatre import Theatre


def _served(theatre: Theatre, from_ms: float, seconds: int) -> list[int]:
    """Calls that ended whole in each second from then on."""
    boot_ms = theatre.outside.now_ms() - theatre.now_ms()
    ended = Counter(
        int((c.end_ms - boot_ms - from_ms) // 1000) for c in theatre.history.calls if c.outcome == "complete"
    )
    return [ended[second] for second in range(seconds)]


@scene
async def whole_loss(theatre: Theatre) -> None:
    """Core, routing nodes and runners lose power together; what returns, returns in one of four ways.

    Runners return under new incarnations with nothing kept. Callers go on calling and come back by Retry-After.
    """
    await open_up(theatre)
    await theatre.insist(mark_edit("mark-before"), "mark-before")
    way = theatre.chance.choice(["together", "one by one", "a core never", "a core empty"])
    async with anyio.create_task_group() as group:
        group.start_soon(theatre.call, 31_000, 1.0, "", 3)
        await theatre.outside.sleep(8_000)
        normal = sum(_served(theatre, theatre.now_ms() - 4_000, 4)) / 4
        own = [*accords(theatre), *transits(theatre)]
        names = [*theatre.deployment.runner_names(), *theatre.deployment.spare]
        for name in own:
            theatre.kill(name, power=True)
        for name in names:
            theatre.kill(f"{name}-i1", power=True)
        await theatre.outside.sleep(4_000)
        lost = accords(theatre)[0]
        if way == "a core empty":
            theatre.disks.pop(lost)
            theatre.actors[lost].host = "10.0.9.21"
        for name in names:
            host = theatre.actors[f"{name}-i1"].host
            theatre.net.lighten(host)
            theatre.platform.remove(f"{name}-i1")
            theatre.start_runner(name, f"{name}-i2", host)
        for name in own:
            if way != "a core never" or name != lost:
                theatre.start(name)
                await theatre.outside.sleep(500 if way == "one by one" else 0)
        back_ms = theatre.now_ms()
    series = _served(theatre, back_ms, 16)
    theatre.history.notes["served each second"] = [way, round(normal, 1), series]
    at12 = sum(series[11:14]) / 3
    expect(theatre, at12 >= 0.5 * normal, f"{way}: {at12:.1f} a second at 12 s, {normal:.1f} before: {series}")
    if way != "a core never":
        await close_up(theatre)


@scene
async def district_lost(theatre: Theatre) -> None:
    """A whole district loses power and returns; then one is cut off from all others and the core, and healed."""

    async def faults(_: Theatre) -> None:
        districts = sorted(set(theatre.deployment.districts))
        for what in ("power", "cut"):
            district = theatre.chance.choice(districts)
            names = [actor.name for actor in theatre.of_kind("transit") if actor.district == district]
            others = [name for name in [*transits(theatre), *accords(theatre)] if name not in names]
            await pause(theatre, 1_500)
            for name in names:
                if what == "power":
                    theatre.kill(name, power=True)
                else:
                    theatre.isolate(name, others)
            await theatre.outside.sleep(theatre.chance.uniform(3_000, 5_000))
            for name in names if what == "power" else []:
                theatre.start(name)
            theatre.net.heal_all()
            await theatre.outside.sleep(1_500)

    await open_up(theatre)
    await during(theatre, 14_000, faults, changes=10)
    await close_up(theatre)


@scene
async def divided(theatre: Theatre) -> None:
    """A cut goes through light and core machines together: a side with one core and some nodes, and the rest."""

    async def faults(_: Theatre) -> None:
        for _at in range(2):
            some = theatre.chance.sample(transits(theatre), theatre.chance.randint(1, len(transits(theatre)) - 1))
            side = [theatre.chance.choice(accords(theatre)), *some]
            rest = [name for name in [*accords(theatre), *transits(theatre)] if name not in side]
            for name in side:
                theatre.isolate(name, rest)
            await theatre.outside.sleep(theatre.chance.uniform(2_000, 5_000))
            theatre.net.heal_all()
            await pause(theatre, 2_000)

    await open_up(theatre)
    await during(theatre, 14_000, faults, changes=16)
    await close_up(theatre)


@scene
async def owner_half_cut(theatre: Theatre) -> None:
    """The owner hears the others' beats, but what it says is lost on the way, while changes come in a storm."""

    async def faults(_: Theatre) -> None:
        for _at in range(3):
            councils = {a.name: a.council for a in theatre.of_kind("accord")}
            owner = next((n for n, c in councils.items() if c and c.registers[CREED_PART].owns()), "accord1")
            theatre.isolate(owner, [name for name in councils if name != owner], both=False)
            await theatre.outside.sleep(theatre.chance.uniform(1_500, 3_500))
            theatre.net.heal_all()
            await pause(theatre, 1_500)

    await open_up(theatre)
    async with anyio.create_task_group() as group:
        group.start_soon(change_often, theatre, 12, 300, "s")
        await during(theatre, 11_000, faults, changes=10)
    await close_up(theatre)


@scene
async def bad_links(theatre: Theatre) -> None:
    """Links to one control node and to one district become slow and lose a tenth of what is sent over them."""

    async def faults(_: Theatre) -> None:
        district = theatre.chance.choice(sorted(set(theatre.deployment.districts)))
        hosts = [actor.host for actor in theatre.of_kind("transit") if actor.district == district]
        hosts.append(theatre.actors[theatre.chance.choice(accords(theatre))].host)
        for slow_ms, lost_share in ((60.0, 0.0), (20.0, 0.1)):
            theatre.net.bad = {host: (slow_ms, lost_share) for host in hosts}
            await theatre.outside.sleep(4_000)
            theatre.net.bad = {}
            await theatre.outside.sleep(1_000)

    await open_up(theatre)
    await during(theatre, 11_000, faults, changes=12)
    theatre.net.bad = {}
    await close_up(theatre)


@scene
async def change_storm(theatre: Theatre) -> None:
    """Operators race and send many in a row, one of them hundreds of bindings, while relays and a node are lost."""
    await open_up(theatre)
    runners, stop_ms = theatre.deployment.runner_names(), theatre.now_ms() + 12_000

    async def operate(who: int) -> None:
        base, at = theatre.newest(), 0
        while theatre.now_ms() < stop_ms:
            at += 1
            mark = f"mark-{who}-{at}"
            edits = list(mark_edit(mark)["edits"])
            if who == 0 and at == 3:
                for number in range(400):
                    name = f"many-{at}-{number}"
                    edits.append({"kind": "services", "name": name, "value": {}})
                    edits.append({"kind": "bindings", "name": name, "value": {"service": name, "runners": runners}})
            change = await theatre.change(base, {"edits": edits}, mark)
            while change.status in (0, 504):
                await theatre.outside.sleep(100)
                change = await theatre.change(base, {"edits": edits}, mark, change_id=change.change_id, again=True)
            base = change.generation if change.generation >= 0 else theatre.newest()
            await theatre.outside.sleep(theatre.chance.uniform(0, 250))

    async with anyio.create_task_group() as group:
        group.start_soon(theatre.call, 12_000, 0.5)
        for who in range(3):
            group.start_soon(operate, who)
        for _ in range(3):
            await pause(theatre, 2_000)
            name = theatre.chance.choice(transits(theatre))
            theatre.kill(name, power=theatre.chance.random() < 0.5)
            await pause(theatre, 2_500)
            theatre.start(name)
    statuses = Counter(change.status for change in theatre.history.changes)
    waits = sorted(c.answered_ms - c.sent_ms for c in theatre.history.changes if c.status == 200)
    theatre.history.notes["storm"] = [dict(statuses), round(waits[len(waits) // 2]), round(waits[-1])]
    expect(theatre, statuses[202] <= 0.1 * statuses[200], f"202 is rare with one node lost: {dict(statuses)}")
    await close_up(theatre)
