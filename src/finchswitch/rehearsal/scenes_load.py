"""Scenes of load: crowds, one opening that draws most of the traffic, slow runners, callers that leave.

The last one ends with a fault that nobody mends.
"""

from dataclasses import replace

import anyio
import httpx

from finchswitch.constants import BRIEF_TRIES_FLOOR, BRIEF_TRIES_SHARE
from finchswitch.rehearsal.callers import call_once
from finchswitch.rehearsal.deployments import Traffic
from finchswitch.rehearsal.history import Call
from finchswitch.rehearsal.scenes import (
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
from finchswitch.rehearsal.theatre import Theatre


async def call_many(
    theatre: Theatre, traffic: Traffic, count: int, over_ms: float, opening: int, tag: str
) -> list[Call]:
    """Many callers with one opening within a moment."""
    calls: list[Call] = []
    transport = theatre.outside.http_transport()
    async with httpx.AsyncClient(transport=transport) as client, anyio.create_task_group() as group:
        for at in range(count):
            await theatre.outside.sleep(over_ms / count)
            node = theatre.desk.hand(theatre.chance.choice(theatre.deployment.districts))
            if node is None:
                continue
            call = Call(f"{tag}-{at}", traffic.service, traffic.repeatable, node, theatre.outside.now_ms())
            calls.append(call)
            theatre.history.calls.append(call)
            body = traffic.body(theatre.chance, at, opening)
            group.start_soon(call_once, theatre.outside, client, theatre.desk.nodes[node][0], traffic, body, call)
    return calls


def _answered_at_once(theatre: Theatre, calls: list[Call]) -> None:
    refused = [call for call in calls if call.status in (429, 503) and call.outcome == "not-run"]
    slow = [call for call in refused if call.end_ms - call.asked_ms > 100]
    expect(theatre, not slow, f"{len(slow)} of {len(refused)} refusals were held back")


@scene
async def crowd(theatre: Theatre) -> None:
    """Three hundred callers with one short opening in a second, then sixty with one long opening."""
    await open_up(theatre)
    short, long = theatre.deployment.traffic
    async with anyio.create_task_group() as group:
        group.start_soon(theatre.call, 12_000, 0.5)
        await theatre.outside.sleep(1_000)
        calls = await call_many(theatre, short, 300, 1_000, 0, "crowd")
        good = sum(call.outcome == "complete" for call in calls)
        expect(theatre, good >= 60, f"{good} of a crowd of 300 served by 60 slots")
        _answered_at_once(theatre, calls)
        calls = await call_many(theatre, long, 60, 3_000, 0, "long")
        good = sum(call.outcome == "complete" for call in calls)
        expect(theatre, good >= 30, f"{good} of 60 with one long opening served")
        _answered_at_once(theatre, calls)
    await close_up(theatre)


@scene
async def one_opening(theatre: Theatre) -> None:
    """One opening draws more than one home can carry: it becomes hot at every node and is spread over all runners."""
    await open_up(theatre)
    short = theatre.deployment.traffic[0]
    carries = 1000 * theatre.deployment.slots / 20  # pieces a second, at 20 ms each
    popular = replace(short, due_ms=8_000, pieces=round(0.7 * carries / 25))
    await call_many(theatre, popular, 250, 10_000, 0, "popular")
    shown = {name: theatre.actors[name].node.crowds.hot(short.service) for name in transits(theatre)}  # type: ignore[union-attr]
    expect(theatre, all(len(hot) == 1 for hot in shown.values()), f"one hot opening at every node: {shown}")
    late = [run for run in [run for runner in theatre.runners.values() for run in runner.runs][-600:]]
    spread = {run.runner for run in late if run.request_id.startswith("popular")}
    expect(theatre, len(spread) == theatre.deployment.runners, f"spread over {sorted(spread)}")
    await close_up(theatre)


@scene
async def slow_runners(theatre: Theatre) -> None:
    """All runners turn slow for a while: what cannot be timely is refused at once, and service comes back."""

    async def faults(_: Theatre) -> None:
        await pause(theatre, 1_000)
        before = {name: (r.traits.piece_ms, r.traits.prefill_tokens_per_s) for name, r in theatre.runners.items()}
        for runner in theatre.runners.values():
            runner.traits.piece_ms, runner.traits.prefill_tokens_per_s = 400.0, 500.0
        await theatre.outside.sleep(6_000)
        for name, runner in theatre.runners.items():
            runner.traits.piece_ms, runner.traits.prefill_tokens_per_s = before[name]
        await theatre.outside.sleep(2_000)

    await open_up(theatre)
    await during(theatre, 9_000, faults, changes=2)
    _answered_at_once(theatre, theatre.history.calls)
    await close_up(theatre)


@scene
async def all_refuse(theatre: Theatre) -> None:
    """Every runner refuses as not started while a crowd calls: extra tries stay within their budget."""
    await open_up(theatre)
    long = replace(theatre.deployment.traffic[1], opening_tokens=100, own_tokens=10)
    for runner in theatre.runners.values():
        runner.refusing = True
    calls = await call_many(theatre, long, 400, 5_000, 0, "refused")
    for runner in theatre.runners.values():
        runner.refusing = False
    expect(theatre, all(call.outcome == "not-run" for call in calls), "what no runner took was not run")
    refusals = sum(len(runner.refusals) for runner in theatre.runners.values())
    within = len(calls) * (1 + BRIEF_TRIES_SHARE) + BRIEF_TRIES_FLOOR
    expect(theatre, refusals <= within, f"{refusals} requests reached runners for {len(calls)} calls")
    await theatre.outside.sleep(3_000)
    await close_up(theatre)


@scene
async def callers_leave(theatre: Theatre) -> None:
    """Callers go away at every moment of a call; their seats are free again and nothing runs on."""
    await open_up(theatre)
    traffic, calls = replace(theatre.deployment.traffic[0], pieces=60), []
    transport = theatre.outside.http_transport()
    async with httpx.AsyncClient(transport=transport) as client, anyio.create_task_group() as group:
        for at in range(60):
            node = theatre.desk.hand(theatre.chance.choice(theatre.deployment.districts)) or "transit1"
            call = Call(f"leaver-{at}", traffic.service, False, node, theatre.outside.now_ms(), left=True)
            calls.append(call)
            theatre.history.calls.append(call)
            address, body = theatre.desk.nodes[node][0], traffic.body(theatre.chance, at)
            group.start_soon(_call_and_leave, theatre, client, address, traffic, body, call)
            await theatre.outside.sleep(theatre.chance.uniform(0, 60))
    await theatre.outside.sleep(1_000)
    for name in transits(theatre):
        node_now = theatre.actors[name].node
        assert node_now is not None
        expect(theatre, not node_now.underway and not node_now.burdens.spoken(0.0), f"{name} holds no seat any more")
    running = sum(not run.whole and run.pieces == 60 for runner in theatre.runners.values() for run in runner.runs)
    expect(theatre, running == 0, f"{running} runs went on")
    await close_up(theatre)


async def _call_and_leave(
    theatre: Theatre, client: httpx.AsyncClient, address: str, traffic: Traffic, body: object, call: Call
) -> None:
    with anyio.move_on_after(theatre.chance.choice([0.001, 0.003, 0.01, 0.05, 0.5, 1.0]) * theatre.chance.random()):
        await call_once(theatre.outside, client, address, traffic, body, call)  # type: ignore[arg-type]


@scene
async def final_fault(theatre: Theatre) -> None:
    """Many faults, and at the end one that stays: the rest of the fleet serves and changes on."""
    await open_up(theatre)
    async with anyio.create_task_group() as group:
        group.start_soon(theatre.call, 14_000, 1.0)
        group.start_soon(change_often, theatre, 10, 600)
        for _ in range(3):
            name = theatre.chance.choice([*accords(theatre), *transits(theatre)])
            theatre.kill(name, power=theatre.chance.random() < 0.5)
            await pause(theatre, 2_500)
            theatre.start(name)
            await pause(theatre, 1_500)
        name = theatre.chance.choice([*accords(theatre), *transits(theatre), *theatre.deployment.runner_names()])
        name = name if name in theatre.actors else f"{name}-i1"
        theatre.kill(name, power=True)
        theatre.history.notes["final"] = name
    await theatre.outside.sleep(4_000)
    await theatre.call(3_000, 1.0, "-after")
    after = [call for call in theatre.history.calls if "-after-" in call.request_id]
    good = sum(call.outcome == "complete" for call in after)
    expect(theatre, good >= 0.8 * len(after), f"{good} of {len(after)} served past {name}")
    change = await theatre.insist({"edits": [{"kind": "services", "name": "mark-x", "value": {}}]}, "mark-x")
    expect(theatre, change.status == 200, f"a change past {name} is {change.status}")
