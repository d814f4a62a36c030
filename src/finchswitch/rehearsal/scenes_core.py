"""Scenes that break the core: control nodes killed, emptied, cut, their disks gone bad, operators in a race."""

import anyio

from finchswitch.rehearsal.scenes import accords, close_up, during, expect, mark_edit, open_up, pause, scene, transits
from finchswitch.rehearsal.theatre import Theatre


@scene
async def core_kills(theatre: Theatre) -> None:
    """One control node after another is killed and started again, the owner among them."""

    async def faults(_: Theatre) -> None:
        for _at in range(4):
            await pause(theatre, 1_500)
            owner = next((a for a in accords(theatre) if _owns(theatre, a)), "accord1")
            name = owner if theatre.chance.random() < 0.6 else theatre.chance.choice(accords(theatre))
            theatre.kill(name, power=theatre.chance.random() < 0.5)
            await pause(theatre, 2_500)
            theatre.start(name)

    await open_up(theatre)
    await during(theatre, 9_000, faults)
    await close_up(theatre)


def _owns(theatre: Theatre, name: str) -> bool:
    council = theatre.actors[name].council
    return council is not None and theatre.actors[name].group is not None and council.registers["creed"].owns()


@scene
async def core_power(theatre: Theatre) -> None:
    """All control nodes lose power at once, just after a yes, and come back with what was synced."""

    async def faults(_: Theatre) -> None:
        for _at in range(2):
            await pause(theatre, 1_500)
            change = await theatre.insist(mark_edit(f"mark-p{_at}"), f"mark-p{_at}")
            expect(theatre, change.status in (200, 202), "taken before the power goes")
            for name in accords(theatre):
                theatre.kill(name, power=True)
            await pause(theatre, 2_000)
            for name in accords(theatre):
                theatre.start(name)

    await open_up(theatre)
    await during(theatre, 8_000, faults)
    await close_up(theatre)


@scene
async def core_empty(theatre: Theatre) -> None:
    """Two control machines in sequence are lost for good and come back empty at new addresses."""

    async def faults(_: Theatre) -> None:
        for at, name in enumerate(theatre.chance.sample(accords(theatre), 2)):
            theatre.kill(name, power=True)
            theatre.disks[name].wipe()
            await pause(theatre, 1_000)
            theatre.actors[name].host = f"10.0.9.{11 + at}"
            theatre.disks.pop(name)
            theatre.start(name)
            await theatre.outside.sleep(9_000)
            councils = [theatre.actors[each].council for each in accords(theatre)]
            voting = sum(c is not None and c.store.state.value == "voting" for c in councils)
            expect(theatre, voting == 3, f"after loss {at + 1}: {voting} stores vote")

    await open_up(theatre)
    await during(theatre, 18_000, faults)
    await close_up(theatre)


@scene
async def core_empty_quiet(theatre: Theatre) -> None:
    """Two control machines in sequence are lost and come back empty, with no change in between to help."""
    await open_up(theatre)
    for at, name in enumerate(theatre.chance.sample(accords(theatre), 2)):
        theatre.kill(name, power=True)
        theatre.disks[name].wipe()
        theatre.actors[name].host = f"10.0.9.{11 + at}"
        theatre.disks.pop(name)
        theatre.start(name)
        await theatre.outside.sleep(9_000)
    await close_up(theatre)


@scene
async def core_cut(theatre: Theatre) -> None:
    """The core is cut in two, one node is cut one way, and then all of it is cut off from the routing nodes."""

    async def faults(_: Theatre) -> None:
        names, nodes = accords(theatre), transits(theatre)
        lone = theatre.chance.choice(names)
        theatre.isolate(lone, [name for name in names if name != lone])
        await pause(theatre, 3_000)
        theatre.net.heal_all()
        lone = theatre.chance.choice(names)
        theatre.isolate(lone, [name for name in names if name != lone], both=False)
        await pause(theatre, 3_000)
        theatre.net.heal_all()
        for name in names:
            theatre.isolate(name, nodes)
        await pause(theatre, 4_000)
        theatre.net.heal_all()

    await open_up(theatre)
    await during(theatre, 11_000, faults)
    await close_up(theatre)


@scene
async def disks(theatre: Theatre) -> None:
    """Disks of control nodes fill, slow down, stall, fail, and a newest file is torn."""

    async def faults(_: Theatre) -> None:
        for _at in range(4):
            name = theatre.chance.choice(accords(theatre))
            disk, kind = theatre.disks[name], theatre.chance.choice(["full", "slow", "stall", "fail", "torn"])
            if kind == "torn":
                theatre.kill(name, power=True)
                disk.tear_newest(theatre.chance.choice(["creed", "store", "part-1"]))
                await pause(theatre, 800)
                theatre.start(name)
                await theatre.outside.sleep(7_000)
            disk.full, disk.failing = kind == "full", kind == "fail"
            disk.slow_ms = {"slow": 150.0, "stall": 1_200.0}.get(kind, 0.0)
            await pause(theatre, 2_500)
            disk.full, disk.failing, disk.slow_ms = False, False, 0.0
            await pause(theatre, 800)

    await open_up(theatre)
    await during(theatre, 12_000, faults, changes=10)
    await close_up(theatre)


@scene
async def races(theatre: Theatre) -> None:
    """Several operators build on the same generation at once, at different control nodes, one of them killed."""
    await open_up(theatre)
    for at in range(8):
        base = theatre.newest()
        async with anyio.create_task_group() as group:
            for who in range(3):
                mark = f"mark-{at}-{who}"
                group.start_soon(theatre.change, base, mark_edit(mark), mark)
            if at % 3 == 2:
                name = theatre.chance.choice(accords(theatre))
                await theatre.outside.sleep(theatre.chance.uniform(0, 60))
                theatre.kill(name, power=theatre.chance.random() < 0.5)
                await theatre.outside.sleep(1_500)
                theatre.start(name)
        bad = {"edits": [{"kind": "bindings", "name": "bad", "value": {"service": "none", "runners": []}}]}
        refused = await theatre.change(theatre.newest(), bad)
        expect(theatre, refused.status not in (200, 202), "a broken change is not taken")
    await close_up(theatre)
