"""Scenes of move plans: run to the end, paused, abandoned, and with what may go wrong on the way."""

from typing import Any

import anyio

from finchswitch.accord.document import part_of
from finchswitch.rehearsal.scenes import accords, close_up, expect, open_up, pause, scene, transits
from finchswitch.rehearsal.scenes_load import call_many
from finchswitch.rehearsal.theatre import Theatre


def _leaving(theatre: Theatre) -> str:
    return theatre.deployment.runner_names()[0]


def _arriving(theatre: Theatre) -> str:
    return theatre.deployment.spare[0]


def _plan(theatre: Theatre, step: str = "running") -> dict[str, Any]:
    bindings = [each.service for each in theatre.deployment.traffic]
    value = {"leaving": [_leaving(theatre)], "arriving": [_arriving(theatre)], "bindings": bindings, "step": step}
    return {"edits": [{"kind": "plans", "name": "move", "value": value}]}


def _standing(theatre: Theatre) -> tuple[str, float]:
    """The plan's phase and share, as the first node that runs believes."""
    for name in transits(theatre):
        actor = theatre.actors[name]
        if actor.group is not None and actor.node is not None:
            held = actor.node.plan_state("move")
            return (held["phase"], held["share"]) if held else ("none", 0.0)
    return "none", 0.0


def _holder(theatre: Theatre) -> str:
    """The node that holds the plan's duty, as the fence says; any other while there is none."""
    for name in transits(theatre):
        node = theatre.actors[name].node
        record = node.news.body(part_of("plan/move")).get("fences", {}).get("plan/move") if node else None
        if record:
            return str(record["holder"].partition("/")[0])
    return theatre.chance.choice(transits(theatre))


async def _until(theatre: Theatre, phase: str, most_ms: float, share: float = 0.0) -> None:
    until_ms = theatre.now_ms() + most_ms
    while theatre.now_ms() < until_ms:
        now = _standing(theatre)
        if now[0] == phase and now[1] >= share:
            return
        await theatre.outside.sleep(100)
    expect(theatre, False, f"the plan is {phase} within {most_ms:.0f} ms, not {_standing(theatre)}")


def _runs_since(theatre: Theatre, incarnation: str, since_ms: float) -> int:
    runner = theatre.runners[incarnation]
    boot_ms = runner.world.now_ms() - theatre.now_ms()
    return sum(run.at_ms - boot_ms > since_ms for run in runner.runs)


async def _watch_shares(theatre: Theatre, seen: list[float]) -> None:
    """Every share that any node came to believe, in order."""
    while _standing(theatre)[0] != "done":
        nodes = [theatre.actors[name].node for name in transits(theatre)]
        held = [node.plan_state("move") for node in nodes if node is not None]
        share = max((each["share"] for each in held if each), default=0.0)
        if not seen or seen[-1] != share:
            seen.append(share)
        await theatre.outside.sleep(20)


def _expect_steps(theatre: Theatre, seen: list[float]) -> None:
    """No step of the plan was repeated, skipped or taken back."""
    expect(theatre, seen == sorted(seen), f"shares only grow: {seen}")
    steps = {round(after - before, 3) for before, after in zip(seen, seen[1:], strict=False)}
    expect(theatre, steps <= {0.125}, f"one step after the other: {steps}")


@scene
async def plan_to_the_end(theatre: Theatre) -> None:
    """A plan goes through all its phases while its duty's holders are killed; no step is repeated or skipped."""
    await open_up(theatre)
    seen: list[float] = []
    async with anyio.create_task_group() as group:
        group.start_soon(theatre.call, 30_000, 1.0)
        await theatre.insist(_plan(theatre))
        group.start_soon(_watch_shares, theatre, seen)
        for _ in range(4):
            await pause(theatre, 2_500)
            name = _holder(theatre) if theatre.chance.random() < 0.75 else theatre.chance.choice(accords(theatre))
            theatre.kill(name, power=theatre.chance.random() < 0.3)
            await theatre.outside.sleep(1_500)
            theatre.start(name)
        await _until(theatre, "done", 30_000)
    expect(theatre, _standing(theatre)[0] == "done", f"the plan is done: {_standing(theatre)}")
    _expect_steps(theatre, seen)
    done_ms = theatre.now_ms()
    await theatre.call(2_000, 1.0, "-moved")
    for traffic in theatre.deployment.traffic:  # every opening once: which of them are the arriving runner's is by hash
        for opening in range(traffic.openings):
            await call_many(theatre, traffic, 1, 100, opening, f"{traffic.service}-{opening}")
    expect(
        theatre, _runs_since(theatre, f"{_leaving(theatre)}-i1", done_ms) == 0, "nothing more for the leaving runner"
    )
    expect(theatre, _runs_since(theatre, f"{_arriving(theatre)}-i1", done_ms) > 0, "the arriving runner serves")
    await close_up(theatre)


@scene
async def plan_holder_sleeps(theatre: Theatre) -> None:
    """The holder of a plan's duty freezes, or is cut off from control, until another has taken the duty up."""
    await open_up(theatre)
    seen: list[float] = []
    async with anyio.create_task_group() as group:
        group.start_soon(theatre.call, 20_000, 0.3)
        await theatre.insist(_plan(theatre))
        group.start_soon(_watch_shares, theatre, seen)
        for _ in range(4):
            await pause(theatre, 1_500)
            name = _holder(theatre)
            if theatre.chance.random() < 0.5:
                theatre.freeze(name)
            else:  # what it says to control meanwhile arrives later
                theatre.isolate(name, accords(theatre))
            await theatre.outside.sleep(4_000)
            theatre.thaw(name)
            theatre.net.heal_all()
        await _until(theatre, "done", 30_000)
    _expect_steps(theatre, seen)
    await close_up(theatre)


@scene
async def plan_paused_and_abandoned(theatre: Theatre) -> None:
    """A plan is paused under way, stays, goes on, is abandoned, and goes back."""
    await open_up(theatre)
    async with anyio.create_task_group() as group:
        group.start_soon(theatre.call, 20_000, 0.5)
        await theatre.insist(_plan(theatre))
        await _until(theatre, "shifting", 8_000, share=0.25)
        await theatre.insist(_plan(theatre, "paused"))
        await theatre.outside.sleep(1_500)
        held = _standing(theatre)
        await theatre.outside.sleep(3_000)
        expect(theatre, _standing(theatre) == held, f"paused at {held}, now {_standing(theatre)}")
        await theatre.insist(_plan(theatre))
        await _until(theatre, "shifting", 5_000, share=held[1] + 0.125)
        await theatre.insist(_plan(theatre, "abandoned"))
        await _until(theatre, "returned", 15_000)
    back_ms = theatre.now_ms()
    await theatre.call(2_000, 1.0, "-back")
    expect(
        theatre, _runs_since(theatre, f"{_arriving(theatre)}-i1", back_ms) == 0, "nothing more for the arriving runner"
    )
    expect(theatre, _runs_since(theatre, f"{_leaving(theatre)}-i1", back_ms) > 0, "the old runner serves again")
    await close_up(theatre)


@scene
async def plan_met_by_failure(theatre: Theatre) -> None:
    """The arriving runner comes late, and the leaving one dies before it was drained."""
    await open_up(theatre)
    shown = theatre.platform.points.pop(f"{_arriving(theatre)}-i1")
    async with anyio.create_task_group() as group:
        group.start_soon(theatre.call, 20_000, 1.0)
        await theatre.insist(_plan(theatre))
        await theatre.outside.sleep(3_000)
        expect(theatre, _standing(theatre)[0] in ("waiting", "none"), f"waits for the runner: {_standing(theatre)}")
        theatre.platform.points[f"{_arriving(theatre)}-i1"] = shown
        await _until(theatre, "shifting", 5_000, share=0.25)
        theatre.kill(f"{_leaving(theatre)}-i1")
        await pause(theatre, 1_000)
        theatre.platform.remove(f"{_leaving(theatre)}-i1")
        await _until(theatre, "done", 16_000)
    await close_up(theatre)


@scene
async def plan_overlap(theatre: Theatre) -> None:
    """A second plan that shares a runner with the first is refused with the reason, and nothing changes."""
    await open_up(theatre)
    await theatre.insist(_plan(theatre, "paused"))
    other = {
        "leaving": [_leaving(theatre)],
        "arriving": [theatre.deployment.runner_names()[1]],
        "bindings": [],
        "step": "running",
    }
    base = theatre.newest()
    refused = await theatre.change(base, {"edits": [{"kind": "plans", "name": "other", "value": other}]})
    expect(theatre, refused.status == 422, f"the overlapping plan is {refused.status}")
    await theatre.outside.sleep(500)
    held = {theatre.actors[name].node.generation() for name in transits(theatre)}  # type: ignore[union-attr]
    expect(theatre, held == {base}, f"generation {base} still stands: {held}")
    await close_up(theatre)
