"""Scenes in which those outside, or a peer, say what is wrong: old news, a list that flaps, pieces that stutter.

They are there for single guards, each of which is taken out in ``tests/test_guards.py`` and must be missed.
"""

from typing import Any

from finchswitch.rehearsal.scenes import change_often, close_up, during, expect, open_up, pause, scene, transits
from finchswitch.rehearsal.theatre import Theatre


@scene
async def old_news(theatre: Theatre) -> None:
    """Two routing nodes answer whoever follows them with an old snapshot, as one restored from a copy might."""

    async def faults(_: Theatre) -> None:
        await theatre.outside.sleep(1_000)
        for name in theatre.chance.sample(transits(theatre), 2):
            node = theatre.actors[name].node
            assert node is not None
            old = {part: {"generation": g, "body": node.news.body(part)} for part, g in node.news.generations().items()}
            _answer_with(node, old)
        await change_often(theatre, 6, 400)

    await open_up(theatre)
    await during(theatre, 7_000, faults, changes=4)
    for name in transits(theatre):
        theatre.actors[name].node.news.__dict__.pop("since", None)  # type: ignore[union-attr]
    await close_up(theatre)


def _answer_with(node: Any, old: dict[str, Any]) -> None:
    node.news.since = lambda have: old


@scene
async def lone_runner(theatre: Theatre) -> None:
    """One runner serves a service alone, and cuts answers before their first piece: nobody else can be tried."""
    await open_up(theatre)
    short = theatre.deployment.traffic[0].service
    lone = theatre.deployment.runner_names()[0]
    value = {"service": short, "runners": [lone]}
    await theatre.insist({"edits": [{"kind": "bindings", "name": short, "value": value}]})

    async def faults(_: Theatre) -> None:
        for _at in range(4):
            theatre.failing(f"{lone}-i1")
            theatre.runners[f"{lone}-i1"].break_after = 0
            await pause(theatre, 900)
            theatre.runners[f"{lone}-i1"].break_after = None
            theatre.thaw(f"{lone}-i1")
            await pause(theatre, 900)

    await during(theatre, 6_000, faults, changes=2)
    told = sum(call.outcome == "unknown" for call in theatre.history.calls)
    expect(theatre, told > 0, "some are told that it is unknown")
    await close_up(theatre)


@scene
async def list_flaps(theatre: Theatre) -> None:
    """The platform's list shows a runner leaving, and later, by an old copy of the list, as ready again."""

    async def faults(_: Theatre) -> None:
        for at, name in enumerate(theatre.deployment.runner_names()[:2]):
            theatre.leave(f"{name}-i1")
            await pause(theatre, 1_500)
            runner, address, _leaving = theatre.platform.points[f"{name}-i1"]
            theatre.platform.points[f"{name}-i1"] = (runner, address, False)
            await theatre.outside.sleep(4_500)
            theatre.start_runner(name, f"{name}-j{at}")
            theatre.platform.remove(f"{name}-i1")

    await open_up(theatre)
    await during(theatre, 12_000, faults)
    await close_up(theatre)


@scene
async def stutter(theatre: Theatre) -> None:
    """Runners leave a piece out, or send one twice, and end as if nothing had been."""

    async def faults(_: Theatre) -> None:
        for at in range(4):
            name = theatre.chance.choice(theatre.deployment.runner_names())
            theatre.failing(f"{name}-i1")
            theatre.runners[f"{name}-i1"].lie = ("skip", "twice")[at % 2]
            await pause(theatre, 1_500)
            theatre.runners[f"{name}-i1"].lie = ""
            theatre.thaw(f"{name}-i1")
            await pause(theatre, 500)

    await open_up(theatre)
    await during(theatre, 7_000, faults, changes=2)
    broken = sum(bool(call.pieces) and not call.done for call in theatre.history.calls)
    expect(theatre, broken > 0, "some streams stuttered")
    await close_up(theatre)
