"""What scenes are made of, and the one in which nothing fails.

Each scene brings about one kind of failure on a whole fleet, under calls and changes, at moments drawn from the
seed. It may say what it expects beyond the checkers, through ``expect``.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from finchswitch.rehearsal.theatre import Theatre

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
    "scene",
    "transits",
]

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


async def change_often(theatre: Theatre, count: int, pause_ms: float, who: str = "") -> None:
    for at in range(count):
        await theatre.insist(mark_edit(f"mark-{who}{at}"), f"mark-{who}{at}")
        await theatre.outside.sleep(theatre.chance.uniform(0, 2 * pause_ms))


async def close_up(theatre: Theatre) -> None:
    """Heal everything, let it settle, call a little, and read what each node believes."""
    theatre.net.heal_all()
    for actor in theatre.actors.values():
        theatre.net.machine(actor.host).thaw()
        if actor.group is None and actor.kind != "runner":
            theatre.start(actor.name)
    for disk in theatre.disks.values():
        disk.full, disk.failing, disk.slow_ms = False, False, 0.0
    expect(theatre, await theatre.settle(), "the fleet is ready again")
    final = await theatre.insist(mark_edit("mark-final"), "mark-final")
    expect(theatre, final.status in (200, 202), "a change is taken at the end")
    await theatre.outside.sleep(2_500)
    await theatre.call(1_500, 1.0, "-last")
    last = [call for call in theatre.history.calls if "-last-" in call.request_id]
    good = sum(call.outcome == "complete" for call in last)
    expect(theatre, good >= 0.7 * len(last), f"service at the end: {good} of {len(last)}")
    read_back(theatre, final.generation)


def read_back(theatre: Theatre, newest: int) -> None:
    """Note what each node that runs believes: the marks of changes it holds, and whether it holds the newest."""
    for actor in theatre.actors.values():
        plane = actor.node or actor.council
        if plane is not None and actor.group is not None:
            body = plane.news.body("creed")
            generation = plane.news.generation("creed")
            expect(theatre, generation == newest, f"{actor.name} holds the newest generation")
            for name in body.get("services", {}):
                if name.startswith("mark-"):
                    theatre.history.marks.append((actor.name, generation, name))


async def during(theatre: Theatre, for_ms: float, faults: Scene, changes: int = 6) -> None:
    """Call and change for a while, with the faults in between."""
    async with anyio.create_task_group() as group:
        group.start_soon(theatre.call, for_ms, 1.0)
        group.start_soon(change_often, theatre, changes, for_ms / changes / 2)
        await faults(theatre)


def accords(theatre: Theatre) -> list[str]:
    return [actor.name for actor in theatre.of_kind("accord")]


def transits(theatre: Theatre) -> list[str]:
    return [actor.name for actor in theatre.of_kind("transit")]


async def pause(theatre: Theatre, most_ms: float) -> None:
    await theatre.outside.sleep(theatre.chance.uniform(0.2, 1.0) * most_ms)


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
