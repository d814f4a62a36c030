"""Scenes of versions: a fleet rolled forward and back under calls and changes, and a process that is too new for it."""

import anyio

from finchswitch.rehearsal.scenes import accords, change_often, close_up, expect, open_up, pause, scene, transits
from finchswitch.rehearsal.theatre import Theatre

_OLD, _BOTH, _NEW = (1, 1), (1, 2), (2, 2)  # the format written, and the newest that is read


async def _roll(theatre: Theatre, formats: tuple[int, int]) -> None:
    """One process after the other, routing nodes first, as the operators' page says."""
    for name in [*transits(theatre), *accords(theatre)]:
        if theatre.actors[name].kind == "transit":
            await theatre.stop_softly(name)
        else:
            theatre.kill(name)
        theatre.actors[name].formats = formats
        await pause(theatre, 300)
        theatre.start(name)
        await theatre.outside.sleep(1_500)


@scene
async def rolled_versions(theatre: Theatre) -> None:
    """To a version that reads the new format too, to one that writes it, and back again; streams are not cut."""
    await open_up(theatre)
    async with anyio.create_task_group() as group:
        group.start_soon(theatre.call, 54_000, 0.3)
        group.start_soon(change_often, theatre, 24, 1_000)
        for formats in (_BOTH, _NEW, _BOTH, _OLD):
            await _roll(theatre, formats)
    short = sum(call.outcome != "complete" for call in theatre.history.calls)
    expect(theatre, short <= 0.03 * len(theatre.history.calls), f"{short} calls not complete")
    await close_up(theatre)


@scene
async def too_new(theatre: Theatre) -> None:
    """One routing and one control node of a version that writes what the others cannot read: they stay outside."""
    await open_up(theatre)
    async with anyio.create_task_group() as group:
        group.start_soon(theatre.call, 10_000, 1.0)
        group.start_soon(change_often, theatre, 6, 700)
        for name in (transits(theatre)[0], accords(theatre)[0]):
            theatre.kill(name)
            theatre.actors[name].formats = _NEW
            theatre.start(name)
        await theatre.outside.sleep(6_000)
        expect(theatre, not theatre.desk.ready.get(transits(theatre)[0]), "the node that is too new is not ready")
        for name in (transits(theatre)[0], accords(theatre)[0]):
            theatre.kill(name)
            theatre.actors[name].formats = _OLD
            theatre.start(name)
    await close_up(theatre)
