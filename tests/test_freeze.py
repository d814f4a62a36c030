"""A freeze at the worst moment: after the seat was granted, before the request is put on the connection."""

import anyio
import httpx
import pytest

from finchswitch.rehearsal.callers import call_once
from finchswitch.rehearsal.checkers import CHECKERS
from finchswitch.rehearsal.history import Call
from finchswitch.rehearsal.scenes import open_up


@pytest.mark.parametrize("at_ms", [30, 90, 150, 210, 270, 330, 390, 450])
def test_a_node_that_slept_sends_nothing_it_may_no_longer_send(staged, at_ms):
    async def scene(theatre):
        await open_up(theatre)
        theatre.net._least_ms, theatre.net._most_ms = 60.0, 60.0  # so that each step of a call takes a moment
        traffic = theatre.deployment.traffic[0]
        call = Call("late", traffic.service, False, "transit1", theatre.outside.now_ms())
        theatre.history.calls.append(call)
        async with httpx.AsyncClient(transport=theatre.outside.http_transport()) as client:
            async with anyio.create_task_group() as group:
                body = traffic.body(theatre.chance, 1, 0)
                group.start_soon(call_once, theatre.outside, client, "10.0.1.1:8000", traffic, body, call)
                await theatre.outside.sleep(at_ms)
                theatre.machine("transit1").freeze()
                await theatre.outside.sleep(200)
                for name in theatre.deployment.runner_names():
                    theatre.leave(f"{name}-i1")
                await theatre.outside.sleep(6_000)
                theatre.machine("transit1").thaw()

    history = staged(scene)
    assert CHECKERS["leaving-left-alone"](history) == []
    assert CHECKERS["not-run-yet-run"](history) == []
