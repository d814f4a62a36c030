"""A scene of everything: faults of all kinds, one over the other, while operators change and callers call."""

from collections.abc import Callable, Coroutine
from typing import Any

import anyio

from finchswitch.rehearsal.scenes import accords, close_up, during, open_up, scene, transits
from finchswitch.rehearsal.theatre import Theatre

_Fault = Callable[[Theatre], Coroutine[Any, Any, None]]


async def _kill_one(theatre: Theatre) -> None:
    name = theatre.chance.choice([*accords(theatre), *transits(theatre)])
    if theatre.actors[name].group is None:
        return
    theatre.kill(name, power=theatre.chance.random() < 0.5)
    await theatre.outside.sleep(theatre.chance.uniform(100, 3_000))
    theatre.start(name)


async def _freeze_one(theatre: Theatre) -> None:
    name = theatre.chance.choice([*accords(theatre), *transits(theatre)])
    theatre.freeze(name)
    await theatre.outside.sleep(theatre.chance.uniform(200, 5_000))
    theatre.thaw(name)


async def _cut_some(theatre: Theatre) -> None:
    names = [*accords(theatre), *transits(theatre)]
    one = theatre.chance.choice(names)
    others = theatre.chance.sample([name for name in names if name != one], theatre.chance.randint(1, 5))
    both = theatre.chance.random() < 0.6
    theatre.isolate(one, others, both)
    await theatre.outside.sleep(theatre.chance.uniform(300, 4_000))
    for other in others:
        theatre.net.heal(theatre.actors[one].host, theatre.actors[other].host)
        theatre.net.heal(theatre.actors[other].host, theatre.actors[one].host)


async def _bad_disk(theatre: Theatre) -> None:
    disk = theatre.disks[theatre.chance.choice(accords(theatre))]
    disk.full = theatre.chance.random() < 0.5
    disk.slow_ms = theatre.chance.choice([0.0, 200.0, 800.0])
    await theatre.outside.sleep(theatre.chance.uniform(300, 2_500))
    disk.full, disk.slow_ms = False, 0.0


async def _bad_runner(theatre: Theatre) -> None:
    names = sorted(name for name in theatre.runners if theatre.actors[name].group is not None)
    name = theatre.chance.choice(names)
    runner = theatre.runners[name]
    what = theatre.chance.choice(["half", "refuse", "dark", "leave"])
    if what != "leave":
        theatre.failing(name)
    if what == "half":
        runner.break_after = theatre.chance.randint(0, 6)
    elif what == "refuse":
        runner.refusing = True
    elif what == "dark":
        theatre.freeze(name)
    elif name in theatre.platform.points and len(theatre.platform.points) > 3:
        theatre.leave(name)
        theatre.start_runner(runner.runner, f"{runner.runner}-m{len(theatre.runners)}")
    await theatre.outside.sleep(theatre.chance.uniform(300, 2_500))
    runner.break_after, runner.refusing = None, False
    theatre.thaw(name)


async def _blind_platform(theatre: Theatre) -> None:
    theatre.platform.failing = True
    await theatre.outside.sleep(theatre.chance.uniform(200, 4_000))
    theatre.platform.failing = False


_FAULTS: list[_Fault] = [_kill_one, _freeze_one, _cut_some, _bad_disk, _bad_runner, _blind_platform]


@scene
async def everything(theatre: Theatre) -> None:
    """Faults of all kinds begin at any moment and overlap."""

    async def faults(_: Theatre) -> None:
        async with anyio.create_task_group() as group:
            for _at in range(14):
                group.start_soon(theatre.chance.choice(_FAULTS), theatre)
                await theatre.outside.sleep(theatre.chance.uniform(100, 1_800))

    await open_up(theatre)
    await during(theatre, 16_000, faults, changes=12)
    await close_up(theatre)
