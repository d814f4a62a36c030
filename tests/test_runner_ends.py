"""A runner that ends or lies at each moment of an answer: the outcome is honest, and nothing runs twice unasked."""

import json

import httpx
import pytest

from finchswitch.simulation.callers import call_once
from finchswitch.simulation.history import Call
from finchswitch.simulation.scenes import open_up


def piece(number, finish=None, **changed):
    choice = {"index": 0, "delta": {"content": f"p{number} "}, "finish_reason": finish}
    return f"id: {number}\ndata: {json.dumps({'choices': [choice], **changed})}\n\n".encode()


DONE = b"data: [DONE]\n\n"
WHOLE = [piece(1), piece(2), piece(3, "stop"), DONE]
# name: (what is sent, "cut" to break there; status of the first try's answer; fate if not repeatable)
ENDS = {
    "before the head": (["cut"], "unknown"),
    "before the first piece": (["head", "cut"], "unknown"),
    "ended without a piece": (["head"], "unknown"),
    "in the stream": (["head", piece(1), piece(2), "cut"], "broken"),
    "before the finish": (["head", piece(1), piece(2)], "broken"),
    "before [DONE]": (["head", *WHOLE[:3]], "broken"),
    "[DONE] without a finish": (["head", piece(1), DONE], "broken"),
    "a piece left out": (["head", piece(1), piece(3, "stop"), DONE], "broken"),
    "a piece twice": (["head", piece(1), piece(1), piece(2, "stop"), DONE], "broken"),
    "not JSON": (["head", b"data: {\n\n"], "unknown"),
    "no choices": (["head", b'data: {"x": 1}\n\n'], "unknown"),
    "another request": ([("head", {"x-request-id": "another"}), *WHOLE], "unknown"),
    "another runner": ([("head", {"x-runner": "another"}), *WHOLE], "unknown"),
    "another incarnation": ([("head", {"x-incarnation": "old"}), *WHOLE], "unknown"),
    "an error": ([("head", {}, 500)], "unknown"),
    "a refusal": ([("head", {"x-outcome": "not-run"}, 503)], "not-run"),
    "whole": (["head", *WHOLE], "complete"),
}


def script(cluster, steps, began):
    """Makes every runner act out the steps, the first time that one is asked; afterwards they answer whole."""

    def acting(runner):
        async def run(request_id, body, send):
            now = steps if not began else ["head", *WHOLE]
            began.append(request_id)
            own = {"x-request-id": request_id, "x-runner": runner.runner, "x-incarnation": runner.incarnation}
            own.update({"x-weights": "w1", "content-type": "text/event-stream"})
            for step in now:
                if step == "cut":
                    cluster.machine(runner.incarnation).cut_connections(silent=False)
                    await cluster.outside.sleep(1_000)
                    return
                if step == "head" or isinstance(step, tuple):
                    changed = step[1] if isinstance(step, tuple) else {}
                    status = step[2] if isinstance(step, tuple) and len(step) == 3 else 200
                    raw = [(k.encode(), v.encode()) for k, v in {**own, **changed}.items()]
                    await send({"type": "http.response.start", "status": status, "headers": raw})
                else:
                    await send({"type": "http.response.body", "body": step, "more_body": True})
                await cluster.outside.sleep(20)
            await send({"type": "http.response.body", "body": b""})

        return run

    for runner in cluster.runners.values():
        runner.run = acting(runner)


@pytest.mark.parametrize("repeatable", [False, True])
@pytest.mark.parametrize("name", ENDS)
def test_the_outcome_is_honest(staged, name, repeatable):
    steps, fate = ENDS[name]
    began, calls = [], []

    async def scene(cluster):
        await open_up(cluster)
        script(cluster, steps, began)
        traffic = cluster.deployment.traffic[0]
        call = Call("one", traffic.service, repeatable, "transit1", cluster.outside.now_ms())
        calls.append(call)
        async with httpx.AsyncClient(transport=cluster.outside.http_transport()) as client:
            body = traffic.body(cluster.chance, 1)
            await call_once(cluster.outside, client, "10.0.1.1:8000", traffic, body, call)
        assert not cluster.processes["transit1"].node.burdens.spoken(0.0)

    staged(scene)
    call = calls[0]
    again = fate == "not-run" or (repeatable and fate == "unknown")
    assert len(began) == (2 if again else 1)
    if again or fate == "complete":
        assert (call.status, call.outcome, call.done, call.numbers) == (200, "complete", True, [1, 2, 3])
    elif fate == "broken":
        assert (call.status, call.outcome, call.done) == (200, "unknown", False)
        assert call.numbers == list(range(1, len(call.numbers) + 1)) and "p1 " in call.pieces
    else:
        assert (call.status, call.outcome, call.pieces, call.retry_after) == (502, "unknown", [], True)
