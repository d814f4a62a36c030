"""Scenes: each brings about one kind of failure on a whole fleet, under calls and changes.

A scene may say afterwards what it expects beyond the checkers, through ``expect``. Faults fall at moments drawn
from the seed.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from finchswitch.rehearsal.theatre import Theatre

__all__ = ["SCENES", "Scene"]

Scene = Callable[[Theatre], Awaitable[None]]
SCENES: dict[str, Scene] = {}


def scene(run: Scene) -> Scene:
    SCENES[run.__name__.replace("_", "-")] = run
    return run


def mark_edit(mark: str) -> dict[str, Any]:
    return {"edits": [{"kind": "services", "name": mark, "value": {"dueMs": 5_000}}]}


def expect(theatre: Theatre, holds: bool, what: str) -> None:
    theatre.history.notes.setdefault("expected", []).append([what, holds])


async def open_up(theatre: Theatre) -> None:
    """Found the fleet, give it its configuration, and wait until it is ready."""
    await theatre.insist({"configuration": theatre.deployment.creed()})
    expect(theatre, await theatre.settle(), "the fleet becomes ready")


async def change_often(theatre: Theatre, count: int, pauseMs: float) -> None:
    for at in range(count):
        await theatre.insist(mark_edit(f"mark-{at}"), f"mark-{at}")
        await theatre.outside.sleep(theatre.chance.uniform(0, 2 * pauseMs))


async def close_up(theatre: Theatre) -> None:
    """Heal everything, let it settle, call a little, and read what each node believes."""
    theatre.net.heal_all()
    for actor in theatre.actors.values():
        theatre.net.machine(actor.host).thaw()
        if actor.group is None and actor.kind != "runner":
            theatre.start(actor.name)
    for disk in theatre.disks.values():
        disk.full, disk.failing, disk.slowMs = False, False, 0.0
    expect(theatre, await theatre.settle(), "the fleet is ready again")
    final = await theatre.insist(mark_edit("mark-final"), "mark-final")
    expect(theatre, final.status in (200, 202), "a change is taken at the end")
    await theatre.outside.sleep(2_500)
    await theatre.call(1_500, 1.0, "-last")
    last = [call for call in theatre.history.calls if "-last-" in call.requestId]
    good = sum(call.outcome == "complete" for call in last)
    expect(theatre, good >= 0.7 * len(last), f"service at the end: {good} of {len(last)}")
    for actor in theatre.actors.values():
        plane = actor.node or actor.council
        if plane is not None and actor.group is not None:
            body = plane.news.body("creed")
            generation = plane.news.generation("creed")
            expect(theatre, generation == final.generation, f"{actor.name} holds the newest generation")
            for name in body.get("services", {}):
                if name.startswith("mark-"):
                    theatre.history.marks.append((actor.name, generation, name))


async def during(theatre: Theatre, forMs: float, faults: Scene, changes: int = 6) -> None:
    """Call and change for a while, with the faults in between."""
    async with anyio.create_task_group() as group:
        group.start_soon(theatre.call, forMs, 1.0)
        group.start_soon(change_often, theatre, changes, forMs / changes / 2)
        await faults(theatre)


def _accords(theatre: Theatre) -> list[str]:
    return [actor.name for actor in theatre.of_kind("accord")]


def _transits(theatre: Theatre) -> list[str]:
    return [actor.name for actor in theatre.of_kind("transit")]


async def _pause(theatre: Theatre, mostMs: float) -> None:
    await theatre.outside.sleep(theatre.chance.uniform(0.2, 1.0) * mostMs)


@scene
async def steady(theatre: Theatre) -> None:
    """Nothing fails."""

    async def nothing(_: Theatre) -> None:
        await theatre.outside.sleep(100)

    await open_up(theatre)
    await during(theatre, 6_000, nothing)
    await close_up(theatre)
    short = sum(call.outcome != "complete" for call in theatre.history.calls)
    expect(theatre, short == 0, f"{short} calls not complete")


@scene
async def core_kills(theatre: Theatre) -> None:
    """One control node after another is killed and started again, the owner among them."""

    async def faults(_: Theatre) -> None:
        for _at in range(4):
            await _pause(theatre, 1_500)
            owner = next((a for a in _accords(theatre) if _owns(theatre, a)), "accord1")
            name = owner if theatre.chance.random() < 0.6 else theatre.chance.choice(_accords(theatre))
            theatre.kill(name, power=theatre.chance.random() < 0.5)
            await _pause(theatre, 2_500)
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
            await _pause(theatre, 1_500)
            change = await theatre.insist(mark_edit(f"mark-p{_at}"), f"mark-p{_at}")
            expect(theatre, change.status in (200, 202), "taken before the power goes")
            for name in _accords(theatre):
                theatre.kill(name, power=True)
            await _pause(theatre, 2_000)
            for name in _accords(theatre):
                theatre.start(name)

    await open_up(theatre)
    await during(theatre, 8_000, faults)
    await close_up(theatre)


@scene
async def core_empty(theatre: Theatre) -> None:
    """Two control machines in sequence are lost for good and come back empty at new addresses."""

    async def faults(_: Theatre) -> None:
        for at, name in enumerate(theatre.chance.sample(_accords(theatre), 2)):
            theatre.kill(name, power=True)
            theatre.disks[name].wipe()
            await _pause(theatre, 1_000)
            theatre.actors[name].host = f"10.0.9.{11 + at}"
            theatre.disks.pop(name)
            theatre.start(name)
            await theatre.outside.sleep(9_000)
            councils = [theatre.actors[each].council for each in _accords(theatre)]
            voting = sum(c is not None and c.store.state.value == "voting" for c in councils)
            expect(theatre, voting == 3, f"after loss {at + 1}: {voting} stores vote")

    await open_up(theatre)
    await during(theatre, 18_000, faults)
    await close_up(theatre)


@scene
async def core_cut(theatre: Theatre) -> None:
    """The core is cut in two, one node is cut one way, and then all of it is cut off from the routing nodes."""

    async def faults(_: Theatre) -> None:
        names, nodes = _accords(theatre), _transits(theatre)
        lone = theatre.chance.choice(names)
        theatre.isolate(lone, [name for name in names if name != lone])
        await _pause(theatre, 3_000)
        theatre.net.heal_all()
        lone = theatre.chance.choice(names)
        theatre.isolate(lone, [name for name in names if name != lone], both=False)
        await _pause(theatre, 3_000)
        theatre.net.heal_all()
        for name in names:
            theatre.isolate(name, nodes)
        await _pause(theatre, 4_000)
        theatre.net.heal_all()

    await open_up(theatre)
    await during(theatre, 11_000, faults)
    await close_up(theatre)


@scene
async def nodes_cut(theatre: Theatre) -> None:
    """Routing nodes are isolated, from control only, from peers only, from all, and in pairs."""

    async def faults(_: Theatre) -> None:
        for _at in range(3):
            count = theatre.chance.choice([1, 1, 2, 3])
            cut = theatre.chance.sample(_transits(theatre), count)
            rest = [name for name in _transits(theatre) if name not in cut]
            others = theatre.chance.choice([_accords(theatre), rest, [*_accords(theatre), *rest]])
            for name in cut:
                theatre.isolate(name, others, both=theatre.chance.random() < 0.7)
            await theatre.outside.sleep(theatre.chance.uniform(4_000, 8_000))
            theatre.net.heal_all()
            await _pause(theatre, 1_000)

    await open_up(theatre)
    await during(theatre, 24_000, faults, changes=24)
    await close_up(theatre)


@scene
async def freezes(theatre: Theatre) -> None:
    """Machines of every kind freeze past every lease and wake."""

    async def faults(_: Theatre) -> None:
        for _at in range(4):
            name = theatre.chance.choice([*_accords(theatre), *_transits(theatre)])
            theatre.history.failed.add(name)
            theatre.machine(name).freeze()
            await theatre.outside.sleep(theatre.chance.uniform(500, 7_000))
            theatre.machine(name).thaw()
            await _pause(theatre, 700)

    await open_up(theatre)
    await during(theatre, 18_000, faults, changes=24)
    await close_up(theatre)


@scene
async def disks(theatre: Theatre) -> None:
    """Disks of control nodes fill, slow down, stall, fail, and a newest file is torn."""

    async def faults(_: Theatre) -> None:
        for _at in range(4):
            name = theatre.chance.choice(_accords(theatre))
            disk, kind = theatre.disks[name], theatre.chance.choice(["full", "slow", "stall", "fail", "torn"])
            if kind == "torn":
                theatre.kill(name, power=True)
                disk.tear_newest(theatre.chance.choice(["creed", "store", "part-1"]))
                await _pause(theatre, 800)
                theatre.start(name)
                await theatre.outside.sleep(7_000)
            disk.full, disk.failing = kind == "full", kind == "fail"
            disk.slowMs = {"slow": 150.0, "stall": 1_200.0}.get(kind, 0.0)
            await _pause(theatre, 2_500)
            disk.full, disk.failing, disk.slowMs = False, False, 0.0
            await _pause(theatre, 800)

    await open_up(theatre)
    await during(theatre, 12_000, faults, changes=10)
    await close_up(theatre)


@scene
async def node_kills(theatre: Theatre) -> None:
    """Routing nodes are killed, singly and several together, and start again."""

    async def faults(_: Theatre) -> None:
        for _at in range(3):
            await _pause(theatre, 1_500)
            names = theatre.chance.sample(_transits(theatre), theatre.chance.choice([1, 2, 3]))
            for name in names:
                theatre.kill(name, power=theatre.chance.random() < 0.4)
            await _pause(theatre, 2_500)
            for name in names:
                theatre.start(name)

    await open_up(theatre)
    await during(theatre, 10_000, faults)
    await close_up(theatre)


@scene
async def rolling_stop(theatre: Theatre) -> None:
    """Every routing node is stopped as planned and started again, under streams."""

    async def faults(_: Theatre) -> None:
        for name in _transits(theatre):
            await theatre.stop_softly(name)
            await _pause(theatre, 400)
            theatre.start(name)
            await theatre.outside.sleep(1_200)

    await open_up(theatre)
    await during(theatre, 10_000, faults)
    await close_up(theatre)
    short = sum(call.outcome != "complete" for call in theatre.history.calls)
    expect(theatre, short <= 0.02 * len(theatre.history.calls), f"{short} calls not complete")


@scene
async def runner_faults(theatre: Theatre) -> None:
    """Runners crash, go dark, break streams, refuse, lie, and are replaced at a reused address."""

    async def faults(_: Theatre) -> None:
        for at in range(5):
            names = sorted(name for name, runner in theatre.runners.items() if theatre.actors[name].group is not None)
            name = theatre.chance.choice(names)
            runner, kind = theatre.runners[name], theatre.chance.choice(["crash", "dark", "half", "refuse", "lie"])
            theatre.history.failed.add(name)
            if kind == "half":
                runner.break_after = theatre.chance.randint(0, 5)
            elif kind == "refuse":
                runner.refusing = True
            elif kind == "lie":
                runner.lie = theatre.chance.choice(["identity", "request"])
            elif kind == "dark":
                theatre.machine(name).freeze()
            await _pause(theatre, 1_500)
            runner.break_after, runner.refusing, runner.lie = None, False, ""
            theatre.machine(name).thaw()
            if kind == "crash":
                host = theatre.actors[name].host
                theatre.kill(name)
                stranger = theatre.chance.random() < 0.5
                theatre.start_runner("stranger" if stranger else runner.runner, f"{runner.runner}-j{at}", host)
                await _pause(theatre, 600)
                theatre.platform.remove(name)
                if stranger:
                    theatre.start_runner(runner.runner, f"{runner.runner}-k{at}")
            await _pause(theatre, 800)

    await open_up(theatre)
    await during(theatre, 11_000, faults, changes=3)
    await close_up(theatre)


@scene
async def reused_address(theatre: Theatre) -> None:
    """A runner dies and a stranger takes its address while the platform's list still shows the old one."""

    async def faults(_: Theatre) -> None:
        for at in range(3):
            names = sorted(name for name, runner in theatre.runners.items() if runner.runner != "stranger")
            name = theatre.chance.choice([each for each in names if theatre.actors[each].group is not None])
            old, host = theatre.runners[name], theatre.actors[name].host
            theatre.history.failed.add(name)
            shown = dict(theatre.platform.points)
            theatre.kill(name)
            theatre.start_runner("stranger", f"stranger-{at}", host)
            theatre.platform.points = shown
            await theatre.outside.sleep(2_000)
            theatre.platform.remove(name)
            theatre.start_runner(old.runner, f"{old.runner}-k{at}")
            await _pause(theatre, 1_000)

    await open_up(theatre)
    await during(theatre, 9_000, faults, changes=2)
    await close_up(theatre)


@scene
async def replaced(theatre: Theatre) -> None:
    """The platform replaces runners one by one: leaving, a new one arrives, the old one is removed."""

    async def faults(_: Theatre) -> None:
        for at, name in enumerate(theatre.deployment.runner_names()):
            theatre.leave(f"{name}-i1")
            await theatre.outside.sleep(theatre.chance.choice([0, 4_500]))
            theatre.start_runner(name, f"{name}-j{at}")
            await theatre.outside.sleep(3_500)
            theatre.platform.remove(f"{name}-i1")

    await open_up(theatre)
    await during(theatre, 16_000, faults)
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
                name = theatre.chance.choice(_accords(theatre))
                await theatre.outside.sleep(theatre.chance.uniform(0, 60))
                theatre.kill(name, power=theatre.chance.random() < 0.5)
                await theatre.outside.sleep(1_500)
                theatre.start(name)
        bad = {"edits": [{"kind": "bindings", "name": "bad", "value": {"service": "none", "runners": []}}]}
        refused = await theatre.change(theatre.newest(), bad)
        expect(theatre, refused.status not in (200, 202), "a broken change is not taken")
    await close_up(theatre)


@scene
async def big_loss(theatre: Theatre) -> None:
    """Every process of the fleet dies at once; a quarter of the service is back 12 s after the machines are."""
    await open_up(theatre)
    await theatre.insist(mark_edit("mark-before"), "mark-before")
    await theatre.call(2_000, 1.0)
    for name in [*_accords(theatre), *_transits(theatre)]:
        theatre.kill(name, power=True)
    await theatre.outside.sleep(3_000)
    for name in [*_accords(theatre), *_transits(theatre)]:
        theatre.start(name)
    await theatre.outside.sleep(12_000 - 3_000)
    await theatre.call(3_000, 1.0, "-back")
    back = [call for call in theatre.history.calls if "-back-" in call.requestId]
    good = sum(call.outcome == "complete" for call in back)
    expect(theatre, good >= 0.25 * len(back), f"{good} of {len(back)} served after the return")
    await close_up(theatre)
