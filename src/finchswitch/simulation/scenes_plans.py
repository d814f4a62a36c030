"""Scenes of move plans: run to the end, paused, abandoned, and with what may go wrong on the way."""

from typing import Any

import anyio

from finchswitch.control.document import part_of
from finchswitch.simulation.cluster import Cluster
from finchswitch.simulation.scenes import accords, close_up, expect, open_up, pause, scene, transits
from finchswitch.simulation.scenes_load import call_many


def _leaving(cluster: Cluster) -> str:
    return cluster.deployment.runner_names()[0]


def _arriving(cluster: Cluster) -> str:
    return cluster.deployment.spare[0]


def _plan(cluster: Cluster, step: str = "running") -> dict[str, Any]:
    bindings = [each.service for each in cluster.deployment.traffic]
    value = {"leaving": [_leaving(cluster)], "arriving": [_arriving(cluster)], "bindings": bindings, "step": step}
    return {"edits": [{"kind": "plans", "name": "move", "value": value}]}


def _standing(cluster: Cluster) -> tuple[str, float]:
    """The plan's phase and share, as the first node that runs believes."""
    for name in transits(cluster):
        process = cluster.processes[name]
        if process.group is not None and process.node is not None:
            held = process.node.plan_state("move")
            return (held["phase"], held["share"]) if held else ("none", 0.0)
    return "none", 0.0


def _holder(cluster: Cluster) -> str:
    """The node that holds the plan's duty, as the fence says; any other while there is none."""
    for name in transits(cluster):
        node = cluster.processes[name].node
        record = node.news.body(part_of("plan/move")).get("fences", {}).get("plan/move") if node else None
        if record:
            return str(record["holder"].partition("/")[0])
    return cluster.chance.choice(transits(cluster))


async def _until(cluster: Cluster, phase: str, most_ms: float, share: float = 0.0) -> None:
    until_ms = cluster.now_ms() + most_ms
    while cluster.now_ms() < until_ms:
        now = _standing(cluster)
        if now[0] == phase and now[1] >= share:
            return
        await cluster.outside.sleep(100)
    expect(cluster, False, f"the plan is {phase} within {most_ms:.0f} ms, not {_standing(cluster)}")


def _runs_since(cluster: Cluster, incarnation: str, since_ms: float) -> int:
    runner = cluster.runners[incarnation]
    boot_ms = runner.world.now_ms() - cluster.now_ms()
    return sum(run.at_ms - boot_ms > since_ms for run in runner.runs)


async def _watch_shares(cluster: Cluster, seen: list[float]) -> None:
    """Every share that any node came to believe, in order."""
    while _standing(cluster)[0] != "done":
        nodes = [cluster.processes[name].node for name in transits(cluster)]
        held = [node.plan_state("move") for node in nodes if node is not None]
        share = max((each["share"] for each in held if each), default=0.0)
        if not seen or seen[-1] != share:
            seen.append(share)
        await cluster.outside.sleep(20)


def _expect_steps(cluster: Cluster, seen: list[float]) -> None:
    """No step of the plan was repeated, skipped or taken back."""
    expect(cluster, seen == sorted(seen), f"shares only grow: {seen}")
    steps = {round(after - before, 3) for before, after in zip(seen, seen[1:], strict=False)}
    expect(cluster, steps <= {0.125}, f"one step after the other: {steps}")


@scene
async def plan_to_the_end(cluster: Cluster) -> None:
    """A plan goes through all its phases while its duty's holders are killed; no step is repeated or skipped."""
    await open_up(cluster)
    seen: list[float] = []
    async with anyio.create_task_group() as group:
        group.start_soon(cluster.call, 30_000, 1.0)
        await cluster.insist(_plan(cluster))
        group.start_soon(_watch_shares, cluster, seen)
        for _ in range(4):
            await pause(cluster, 2_500)
            name = _holder(cluster) if cluster.chance.random() < 0.75 else cluster.chance.choice(accords(cluster))
            cluster.kill(name, power=cluster.chance.random() < 0.3)
            await cluster.outside.sleep(1_500)
            cluster.start(name)
        await _until(cluster, "done", 30_000)
    expect(cluster, _standing(cluster)[0] == "done", f"the plan is done: {_standing(cluster)}")
    _expect_steps(cluster, seen)
    done_ms = cluster.now_ms()
    await cluster.call(2_000, 1.0, "-moved")
    for traffic in cluster.deployment.traffic:  # every opening once: which of them are the arriving runner's is by hash
        for opening in range(traffic.openings):
            await call_many(cluster, traffic, 1, 100, opening, f"{traffic.service}-{opening}")
    expect(
        cluster, _runs_since(cluster, f"{_leaving(cluster)}-i1", done_ms) == 0, "nothing more for the leaving runner"
    )
    expect(cluster, _runs_since(cluster, f"{_arriving(cluster)}-i1", done_ms) > 0, "the arriving runner serves")
    await close_up(cluster)


@scene
async def plan_holder_sleeps(cluster: Cluster) -> None:
    """The holder of a plan's duty freezes, or is cut off from control, until another has taken the duty up."""
    await open_up(cluster)
    seen: list[float] = []
    async with anyio.create_task_group() as group:
        group.start_soon(cluster.call, 20_000, 0.3)
        await cluster.insist(_plan(cluster))
        group.start_soon(_watch_shares, cluster, seen)
        for _ in range(4):
            await pause(cluster, 1_500)
            name = _holder(cluster)
            if cluster.chance.random() < 0.5:
                cluster.freeze(name)
            else:  # what it says to control meanwhile arrives later
                cluster.isolate(name, accords(cluster))
            await cluster.outside.sleep(4_000)
            cluster.thaw(name)
            cluster.net.heal_all()
        await _until(cluster, "done", 30_000)
    _expect_steps(cluster, seen)
    await close_up(cluster)


@scene
async def plan_paused_and_abandoned(cluster: Cluster) -> None:
    """A plan is paused under way, stays, goes on, is abandoned, and goes back."""
    await open_up(cluster)
    async with anyio.create_task_group() as group:
        group.start_soon(cluster.call, 20_000, 0.5)
        await cluster.insist(_plan(cluster))
        await _until(cluster, "shifting", 8_000, share=0.25)
        await cluster.insist(_plan(cluster, "paused"))
        await cluster.outside.sleep(1_500)
        held = _standing(cluster)
        await cluster.outside.sleep(3_000)
        expect(cluster, _standing(cluster) == held, f"paused at {held}, now {_standing(cluster)}")
        await cluster.insist(_plan(cluster))
        await _until(cluster, "shifting", 5_000, share=held[1] + 0.125)
        await cluster.insist(_plan(cluster, "abandoned"))
        await _until(cluster, "returned", 15_000)
    back_ms = cluster.now_ms()
    await cluster.call(2_000, 1.0, "-back")
    expect(
        cluster, _runs_since(cluster, f"{_arriving(cluster)}-i1", back_ms) == 0, "nothing more for the arriving runner"
    )
    expect(cluster, _runs_since(cluster, f"{_leaving(cluster)}-i1", back_ms) > 0, "the old runner serves again")
    await close_up(cluster)


@scene
async def plan_met_by_failure(cluster: Cluster) -> None:
    """The arriving runner comes late, and the leaving one dies before it was drained."""
    await open_up(cluster)
    shown = cluster.platform.points.pop(f"{_arriving(cluster)}-i1")
    async with anyio.create_task_group() as group:
        group.start_soon(cluster.call, 20_000, 1.0)
        await cluster.insist(_plan(cluster))
        await cluster.outside.sleep(3_000)
        expect(cluster, _standing(cluster)[0] in ("waiting", "none"), f"waits for the runner: {_standing(cluster)}")
        cluster.platform.points[f"{_arriving(cluster)}-i1"] = shown
        await _until(cluster, "shifting", 5_000, share=0.25)
        cluster.kill(f"{_leaving(cluster)}-i1")
        await pause(cluster, 1_000)
        cluster.platform.remove(f"{_leaving(cluster)}-i1")
        await _until(cluster, "done", 16_000)
    await close_up(cluster)


@scene
async def plan_overlap(cluster: Cluster) -> None:
    """A second plan that shares a runner with the first is refused with the reason, and nothing changes."""
    await open_up(cluster)
    await cluster.insist(_plan(cluster, "paused"))
    other = {
        "leaving": [_leaving(cluster)],
        "arriving": [cluster.deployment.runner_names()[1]],
        "bindings": [],
        "step": "running",
    }
    base = cluster.newest()
    refused = await cluster.change(base, {"edits": [{"kind": "plans", "name": "other", "value": other}]})
    expect(cluster, refused.status == 422, f"the overlapping plan is {refused.status}")
    await cluster.outside.sleep(500)
    held = {cluster.processes[name].node.generation() for name in transits(cluster)}  # type: ignore[union-attr]
    expect(cluster, held == {base}, f"generation {base} still stands: {held}")
    await close_up(cluster)
