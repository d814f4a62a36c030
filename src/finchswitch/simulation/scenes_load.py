"""Scenes of load: crowds, one opening that draws most of the traffic, slow runners, callers that leave.

The last one ends with a fault that nobody mends.
"""

from dataclasses import replace

import anyio
import httpx

from finchswitch.constants import BRIEF_TRIES_FLOOR, BRIEF_TRIES_SHARE
from finchswitch.simulation.callers import call_once
from finchswitch.simulation.cluster import Cluster
from finchswitch.simulation.deployments import Traffic
from finchswitch.simulation.history import Call
from finchswitch.simulation.scenes import (
    accords,
    change_often,
    close_up,
    during,
    expect,
    open_up,
    pause,
    scene,
    transits,
)


async def call_many(
    cluster: Cluster, traffic: Traffic, count: int, over_ms: float, opening: int, tag: str
) -> list[Call]:
    """Many callers with one opening within a moment."""
    calls: list[Call] = []
    transport = cluster.outside.http_transport()
    async with httpx.AsyncClient(transport=transport) as client, anyio.create_task_group() as group:
        for at in range(count):
            await cluster.outside.sleep(over_ms / count)
            node = cluster.desk.hand(cluster.chance.choice(cluster.deployment.districts))
            if node is None:
                continue
            call = Call(f"{tag}-{at}", traffic.service, traffic.repeatable, node, cluster.outside.now_ms())
            calls.append(call)
            cluster.history.calls.append(call)
            body = traffic.body(cluster.chance, at, opening)
            group.start_soon(call_once, cluster.outside, client, cluster.desk.nodes[node][0], traffic, body, call)
    return calls


def _answered_at_once(cluster: Cluster, calls: list[Call]) -> None:
    refused = [call for call in calls if call.status in (429, 503) and call.outcome == "not-run"]
    slow = [call for call in refused if call.end_ms - call.asked_ms > 100]
    expect(cluster, not slow, f"{len(slow)} of {len(refused)} refusals were held back")


@scene
async def crowd(cluster: Cluster) -> None:
    """Three hundred callers with one short opening in a second, then sixty with one long opening."""
    await open_up(cluster)
    short, long = cluster.deployment.traffic
    async with anyio.create_task_group() as group:
        group.start_soon(cluster.call, 12_000, 0.5)
        await cluster.outside.sleep(1_000)
        calls = await call_many(cluster, short, 300, 1_000, 0, "crowd")
        good = sum(call.outcome == "complete" for call in calls)
        expect(cluster, good >= 60, f"{good} of a crowd of 300 served by 60 slots")
        _answered_at_once(cluster, calls)
        calls = await call_many(cluster, long, 60, 3_000, 0, "long")
        good = sum(call.outcome == "complete" for call in calls)
        expect(cluster, good >= 30, f"{good} of 60 with one long opening served")
        _answered_at_once(cluster, calls)
    await close_up(cluster)


@scene
async def one_opening(cluster: Cluster) -> None:
    """One opening draws more than one home can carry: it becomes hot at every node and is spread over all runners."""
    await open_up(cluster)
    short = cluster.deployment.traffic[0]
    carries = 1000 * cluster.deployment.slots / 20  # pieces a second, at 20 ms each
    popular = replace(short, due_ms=8_000, pieces=round(0.7 * carries / 25))
    await call_many(cluster, popular, 250, 10_000, 0, "popular")
    shown = {name: cluster.processes[name].node.crowds.hot(short.service) for name in transits(cluster)}  # type: ignore[union-attr]
    expect(cluster, all(len(hot) == 1 for hot in shown.values()), f"one hot opening at every node: {shown}")
    late = [run for run in [run for runner in cluster.runners.values() for run in runner.runs][-600:]]
    spread = {run.runner for run in late if run.request_id.startswith("popular")}
    expect(cluster, len(spread) == cluster.deployment.runners, f"spread over {sorted(spread)}")
    await close_up(cluster)


@scene
async def slow_runners(cluster: Cluster) -> None:
    """All runners turn slow for a while: what cannot be timely is refused at once, and service comes back."""

    async def faults(_: Cluster) -> None:
        await pause(cluster, 1_000)
        before = {name: (r.traits.piece_ms, r.traits.prefill_tokens_per_s) for name, r in cluster.runners.items()}
        for runner in cluster.runners.values():
            runner.traits.piece_ms, runner.traits.prefill_tokens_per_s = 400.0, 500.0
        await cluster.outside.sleep(6_000)
        for name, runner in cluster.runners.items():
            runner.traits.piece_ms, runner.traits.prefill_tokens_per_s = before[name]
        await cluster.outside.sleep(2_000)

    await open_up(cluster)
    await during(cluster, 9_000, faults, changes=2)
    _answered_at_once(cluster, cluster.history.calls)
    await close_up(cluster)


@scene
async def all_refuse(cluster: Cluster) -> None:
    """Every runner refuses as not started while a crowd calls: extra tries stay within their budget."""
    await open_up(cluster)
    long = replace(cluster.deployment.traffic[1], opening_tokens=100, own_tokens=10)
    for runner in cluster.runners.values():
        runner.refusing = True
    calls = await call_many(cluster, long, 400, 5_000, 0, "refused")
    for runner in cluster.runners.values():
        runner.refusing = False
    expect(cluster, all(call.outcome == "not-run" for call in calls), "what no runner took was not run")
    refusals = sum(len(runner.refusals) for runner in cluster.runners.values())
    within = len(calls) * (1 + BRIEF_TRIES_SHARE) + BRIEF_TRIES_FLOOR
    expect(cluster, refusals <= within, f"{refusals} requests reached runners for {len(calls)} calls")
    await cluster.outside.sleep(3_000)
    await close_up(cluster)


@scene
async def callers_leave(cluster: Cluster) -> None:
    """Callers go away at every moment of a call; their seats are free again and nothing runs on."""
    await open_up(cluster)
    traffic, calls = replace(cluster.deployment.traffic[0], pieces=60), []
    transport = cluster.outside.http_transport()
    async with httpx.AsyncClient(transport=transport) as client, anyio.create_task_group() as group:
        for at in range(60):
            node = cluster.desk.hand(cluster.chance.choice(cluster.deployment.districts)) or "transit1"
            call = Call(f"leaver-{at}", traffic.service, False, node, cluster.outside.now_ms(), left=True)
            calls.append(call)
            cluster.history.calls.append(call)
            address, body = cluster.desk.nodes[node][0], traffic.body(cluster.chance, at)
            group.start_soon(_call_and_leave, cluster, client, address, traffic, body, call)
            await cluster.outside.sleep(cluster.chance.uniform(0, 60))
    await cluster.outside.sleep(1_000)
    for name in transits(cluster):
        node_now = cluster.processes[name].node
        assert node_now is not None
        expect(cluster, not node_now.underway and not node_now.burdens.spoken(0.0), f"{name} holds no seat any more")
    running = sum(not run.whole and run.pieces == 60 for runner in cluster.runners.values() for run in runner.runs)
    expect(cluster, running == 0, f"{running} runs went on")
    await close_up(cluster)


async def _call_and_leave(
    cluster: Cluster, client: httpx.AsyncClient, address: str, traffic: Traffic, body: object, call: Call
) -> None:
    with anyio.move_on_after(cluster.chance.choice([0.001, 0.003, 0.01, 0.05, 0.5, 1.0]) * cluster.chance.random()):
        await call_once(cluster.outside, client, address, traffic, body, call)  # type: ignore[arg-type]


@scene
async def final_fault(cluster: Cluster) -> None:
    """Many faults, and at the end one that stays: the rest of the fleet serves and changes on."""
    await open_up(cluster)
    async with anyio.create_task_group() as group:
        group.start_soon(cluster.call, 14_000, 1.0)
        group.start_soon(change_often, cluster, 10, 600)
        for _ in range(3):
            name = cluster.chance.choice([*accords(cluster), *transits(cluster)])
            cluster.kill(name, power=cluster.chance.random() < 0.5)
            await pause(cluster, 2_500)
            cluster.start(name)
            await pause(cluster, 1_500)
        name = cluster.chance.choice([*accords(cluster), *transits(cluster), *cluster.deployment.runner_names()])
        name = name if name in cluster.processes else f"{name}-i1"
        cluster.kill(name, power=True)
        cluster.history.notes["final"] = name
    await cluster.outside.sleep(4_000)
    await cluster.call(3_000, 1.0, "-after")
    after = [call for call in cluster.history.calls if "-after-" in call.request_id]
    good = sum(call.outcome == "complete" for call in after)
    expect(cluster, good >= 0.8 * len(after), f"{good} of {len(after)} served past {name}")
    change = await cluster.insist({"edits": [{"kind": "services", "name": "mark-x", "value": {}}]}, "mark-x")
    expect(cluster, change.status == 200, f"a change past {name} is {change.status}")
