"""Storms: the core alone under operators in a race, with faults so dense that little stands still.

There are no routing nodes and no callers here, so a run is short and many seeds can be had. What must hold: one
winner a base, nothing acknowledged forgotten, nothing refused in effect, no current read behind what was said.
"""

from typing import Any

import anyio
import httpx

from finchswitch.constants import CREED_PART, STORM_MS, STORM_OPERATORS
from finchswitch.rehearsal.history import Read
from finchswitch.rehearsal.scenes import Scene, expect, mark_edit, read_back
from finchswitch.rehearsal.theatre import Theatre

__all__ = ["STORMS"]


async def _operate(theatre: Theatre, who: int) -> None:
    """An operator that builds on what it last heard, whatever that was."""
    base, at = 1, 0
    while theatre.now_ms() < STORM_MS:
        at += 1
        mark = f"mark-{who}-{at}"
        change = await theatre.change(base, mark_edit(mark), mark)
        for _ in range(3):
            if change.status not in (0, 504):
                break
            await theatre.outside.sleep(theatre.chance.uniform(10, 400))
            change = await theatre.change(base, mark_edit(mark), mark, change_id=change.change_id, again=True)
        base = change.generation if change.generation >= 0 else base
        await theatre.outside.sleep(theatre.chance.uniform(10, 400))


async def _read(theatre: Theatre) -> None:
    async with httpx.AsyncClient(transport=theatre.outside.http_transport(), timeout=2) as client:
        while theatre.now_ms() < STORM_MS:
            host, sent_ms = theatre.chance.choice(theatre.of_kind("accord")).host, theatre.now_ms()
            try:
                answer = await client.get(f"http://{host}:8000/v1/configuration?current=true")
                if answer.status_code == 200:
                    theatre.history.reads.append(Read(sent_ms, answer.json()["generation"]))
            except httpx.HTTPError:
                pass
            await theatre.outside.sleep(theatre.chance.uniform(5, 100))


async def _close(theatre: Theatre) -> None:
    theatre.net.heal_all()
    for actor in theatre.of_kind("accord"):
        theatre.machine(actor.name).thaw()
        theatre.disks[actor.name].slow_ms = 0.0
        if actor.group is None:
            theatre.start(actor.name)
    await theatre.outside.sleep(3_000)
    final = await theatre.insist(mark_edit("mark-final"), "mark-final")
    expect(theatre, final.status == 200, "a change is taken at the end")
    await theatre.outside.sleep(1_000)
    read_back(theatre, final.generation)


async def _storm(theatre: Theatre, fault: Any) -> None:
    await theatre.insist({"configuration": theatre.deployment.creed()})
    async with anyio.create_task_group() as group:
        for who in range(STORM_OPERATORS):
            group.start_soon(_operate, theatre, who)
        group.start_soon(_read, theatre)
        while theatre.now_ms() < STORM_MS:
            await theatre.outside.sleep(theatre.chance.uniform(20, 1_500))
            await fault(theatre)
    await _close(theatre)


async def _kill(theatre: Theatre) -> None:
    names = [actor.name for actor in theatre.of_kind("accord")]
    for name in theatre.chance.sample(names, theatre.chance.choice([1, 1, 2, 3])):
        theatre.kill(name, power=theatre.chance.random() < 0.5)
    await theatre.outside.sleep(theatre.chance.uniform(10, 1_500))
    for name in names:
        if theatre.actors[name].group is None:
            theatre.start(name)


async def _cut(theatre: Theatre) -> None:
    names = [actor.name for actor in theatre.of_kind("accord")]
    lone = theatre.chance.choice(names)
    others = [name for name in names if name != lone]
    theatre.isolate(lone, theatre.chance.choice([others, others[:1]]), both=theatre.chance.random() < 0.5)
    await theatre.outside.sleep(theatre.chance.uniform(10, 2_500))
    theatre.net.heal_all()


async def _freeze(theatre: Theatre) -> None:
    name = theatre.chance.choice(theatre.of_kind("accord")).name
    if theatre.chance.random() < 0.5:
        theatre.freeze(name)
        await theatre.outside.sleep(theatre.chance.uniform(100, 3_000))
        theatre.thaw(name)
    else:
        theatre.disks[name].slow_ms = theatre.chance.choice([30.0, 300.0, 900.0])
        await theatre.outside.sleep(theatre.chance.uniform(100, 2_000))
        theatre.disks[name].slow_ms = 0.0


async def kills_storm(theatre: Theatre) -> None:
    """Kills and losses of power."""
    await _storm(theatre, _kill)


async def cuts_storm(theatre: Theatre) -> None:
    """Cuts, one way and both."""
    await _storm(theatre, _cut)


async def mixed_storm(theatre: Theatre) -> None:
    """Kills, cuts, freezes and slow disks, one over the other."""

    async def any_of(theatre: Theatre) -> None:
        async with anyio.create_task_group() as group:
            for fault in theatre.chance.sample([_kill, _cut, _freeze], 2):
                group.start_soon(fault, theatre)

    await _storm(theatre, any_of)


async def swap_cut(theatre: Theatre) -> None:
    """A member is cut off until the owner would swap a spare in for it, and then the other member is as well.

    Owner and spare are together on one side then, and the two other members, a majority of the former group, on the
    other. Only one of the sides may take changes.
    """
    await theatre.insist({"configuration": theatre.deployment.creed()})
    theatre.cast("accord4", "accord", "core", "10.0.9.14")
    theatre.start("accord4")
    await theatre.outside.sleep(2_000)
    councils = {actor.name: actor.council for actor in theatre.of_kind("accord")}
    owner = next(name for name, council in councils.items() if council and council.registers[CREED_PART].owns())
    first, second = theatre.chance.sample([name for name in councils if name not in (owner, "accord4")], 2)
    theatre.isolate(first, [owner, "accord4"])
    await theatre.outside.sleep(theatre.chance.uniform(2_500, 3_900))
    theatre.isolate(second, [owner, "accord4"])
    await theatre.outside.sleep(theatre.chance.uniform(1_500, 3_000))
    async with anyio.create_task_group() as group:
        for at in (owner, "accord4", first, second):
            group.start_soon(_operate_at, theatre, at)
    await _close(theatre)


async def _operate_at(theatre: Theatre, at: str) -> None:
    until_ms, base, number = theatre.now_ms() + 8_000, 1, 0
    while theatre.now_ms() < until_ms:
        number += 1
        mark = f"mark-{at}-{number}"
        change = await theatre.change(base, mark_edit(mark), mark, at=at)
        base = change.generation if change.generation >= 0 else base
        await theatre.outside.sleep(theatre.chance.uniform(50, 400))


STORMS: dict[str, Scene] = {"kills-storm": kills_storm, "cuts-storm": cuts_storm, "mixed-storm": mixed_storm}
STORMS["swap-cut"] = swap_cut
