"""The last check before a request leaves: what is held then counts, and the answer names that generation."""

import anyio
import httpx

from finchswitch.simulation.callers import call_once
from finchswitch.simulation.history import Call
from finchswitch.simulation.scenes import mark_edit, open_up


async def call_under_a_change(cluster, edits):
    """A call whose runner is slow to prove itself, and a change that is in effect before it has."""
    await open_up(cluster)
    for runner in cluster.runners.values():
        runner.proof_ms = 700.0
    traffic = cluster.deployment.traffic[0]
    call = Call("late", traffic.service, False, "transit1", cluster.outside.now_ms())
    async with httpx.AsyncClient(transport=cluster.outside.http_transport()) as client:
        async with anyio.create_task_group() as group:
            body = traffic.body(cluster.chance, 1, 0)
            group.start_soon(call_once, cluster.outside, client, "10.0.1.1:8000", traffic, body, call)
            await cluster.outside.sleep(50)
            change = await cluster.change(1, edits)
            assert change.status == 200 and change.answered_ms - change.sent_ms < 600
            for runner in cluster.runners.values():
                runner.proof_ms = 0.0
    return call


def test_a_runner_unbound_meanwhile_gets_no_request(staged):
    calls = []

    async def scene(cluster):
        value = {"service": "rulings", "runners": cluster.deployment.spare}
        edits = {"edits": [{"kind": "bindings", "name": "rulings", "value": value}]}
        calls.append(await call_under_a_change(cluster, edits))

    history = staged(scene)
    assert [run.runner for run in history.runs] == ["village-n1"]
    assert (calls[0].outcome, calls[0].generation) == ("complete", 2)


def test_a_plan_that_moved_on_meanwhile_counts(staged):
    async def scene(cluster):
        await open_up(cluster)
        names = cluster.deployment.runner_names()
        value = {"leaving": names, "arriving": cluster.deployment.spare, "bindings": ["rulings"], "step": "paused"}
        await cluster.insist({"edits": [{"kind": "plans", "name": "move", "value": value}]})
        node, traffic = cluster.processes["transit1"].node, cluster.deployment.traffic[0]
        for runner in cluster.runners.values():
            runner.proof_ms = 400.0
        call = Call("late", traffic.service, False, "transit1", cluster.outside.now_ms())
        async with httpx.AsyncClient(transport=cluster.outside.http_transport()) as client:
            async with anyio.create_task_group() as group:
                body = traffic.body(cluster.chance, 1, 0)
                group.start_soon(call_once, cluster.outside, client, "10.0.1.1:8000", traffic, body, call)
                await cluster.outside.sleep(200)
                node.plan_state = lambda plan: {"phase": "done", "share": 1.0}  # as news would have it
        assert call.outcome == "complete"

    assert [run.runner for run in staged(scene).runs] == ["village-n1"]


def test_the_answer_names_the_generation_under_which_it_was_sent(staged):
    calls = []

    async def scene(cluster):
        await open_up(cluster)
        traffic = cluster.deployment.traffic[1]
        call = Call("long", traffic.service, False, "transit1", cluster.outside.now_ms())
        async with httpx.AsyncClient(transport=cluster.outside.http_transport()) as client:
            async with anyio.create_task_group() as group:
                body = traffic.body(cluster.chance, 1, 0)
                group.start_soon(call_once, cluster.outside, client, "10.0.1.1:8000", traffic, body, call)
                await cluster.outside.sleep(100)  # it is being prefilled
                assert (await cluster.change(1, mark_edit("mark-a"))).status == 200
                assert call.first_ms < 0
        calls.append(call)

    staged(scene)
    assert (calls[0].outcome, calls[0].generation) == ("complete", 1)
