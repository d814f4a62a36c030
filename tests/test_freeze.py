"""A freeze at the worst moment: after the seat was granted, before the request is put on the connection."""

import anyio
import httpx
import pytest

from finchswitch.simulation.callers import call_once
from finchswitch.simulation.checkers import CHECKERS
from finchswitch.simulation.history import Call
from finchswitch.simulation.scenes import open_up


@pytest.mark.parametrize("at_ms", [30, 90, 150, 210, 270, 330, 390, 450])
def test_a_node_that_slept_sends_nothing_it_may_no_longer_send(staged, at_ms):
    async def scene(cluster):
        await open_up(cluster)
        cluster.net._least_ms, cluster.net._most_ms = 60.0, 60.0  # so that each step of a call takes a moment
        traffic = cluster.deployment.traffic[0]
        call = Call("late", traffic.service, False, "transit1", cluster.outside.now_ms())
        cluster.history.calls.append(call)
        async with httpx.AsyncClient(transport=cluster.outside.http_transport()) as client:
            async with anyio.create_task_group() as group:
                body = traffic.body(cluster.chance, 1, 0)
                group.start_soon(call_once, cluster.outside, client, "10.0.1.1:8000", traffic, body, call)
                await cluster.outside.sleep(at_ms)
                cluster.machine("transit1").freeze()
                await cluster.outside.sleep(200)
                for name in cluster.deployment.runner_names():
                    cluster.leave(f"{name}-i1")
                await cluster.outside.sleep(6_000)
                cluster.machine("transit1").thaw()

    history = staged(scene)
    assert CHECKERS["leaving-left-alone"](history) == []
    assert CHECKERS["not-run-yet-run"](history) == []
