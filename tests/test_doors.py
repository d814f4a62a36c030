"""What callers and operators get for input that is wrong, from a fleet that runs."""

import json

import httpx

from finchswitch.simulation.deployments import VILLAGE
from finchswitch.simulation.scenes import mark_edit, open_up

GOOD = {"model": "rulings", "stream": True, "messages": [{"role": "user", "content": "hi"}]}


def test_callers_mistakes_are_refused_at_once(staged):
    cases = [
        (b"{", {}, 400),
        (b"[]", {}, 400),
        (json.dumps({**GOOD, "model": "nobody"}).encode(), {}, 404),
        (json.dumps({**GOOD, "messages": []}).encode(), {}, 400),
        (json.dumps({**GOOD, "messages": [{"role": "user"}]}).encode(), {}, 400),
        (json.dumps({**GOOD, "stream": False}).encode(), {}, 400),
        (json.dumps(GOOD).encode(), {"x-due-ms": "soon"}, 400),
        (json.dumps(GOOD).encode(), {"x-due-ms": "1"}, 400),
        (json.dumps(GOOD).encode(), {"x-repeatable": "maybe"}, 400),
        (json.dumps(GOOD).encode(), {"x-request-id": "x" * 200}, 400),
        (b"x" * 1_100_000, {}, 413),
    ]
    got = []

    async def scene(cluster):
        await open_up(cluster)
        async with httpx.AsyncClient(transport=cluster.outside.http_transport()) as client:
            for body, headers, _ in cases:
                began_ms = cluster.now_ms()
                url = "http://10.0.1.1:8000/v1/chat/completions"
                answer = await client.post(url, content=body, headers=headers)
                got.append((answer.status_code, answer.headers["x-outcome"], cluster.now_ms() - began_ms < 100))
            assert (await client.post("http://10.0.1.1:8000/v1/nothing")).status_code == 404
            assert (await client.get("http://10.0.1.1:8000/v1/chat/completions")).status_code == 405

    history = staged(scene)
    assert got == [(status, "not-run", True) for _, _, status in cases]
    assert history.runs == []


def test_a_request_id_under_way_or_lately_sent_is_refused_and_not_called_not_run(staged):
    async def scene(cluster):
        await open_up(cluster)
        headers, body = {"x-request-id": "same"}, {**GOOD, "max_tokens": 50}
        async with httpx.AsyncClient(transport=cluster.outside.http_transport()) as client:
            url = "http://10.0.1.1:8000/v1/chat/completions"
            async with client.stream("POST", url, json=body, headers=headers) as first:
                assert first.status_code == 200
                second = await client.post(url, json=body, headers=headers)
                assert second.status_code == 409 and second.headers["x-outcome"] == "unknown"
                text = (await first.aread()).decode()
            third = await client.post(url, json=body, headers={**headers, "x-repeatable": "yes"})
            assert third.status_code == 409 and third.headers["x-outcome"] == "unknown"
        assert text.count("\nid: ") == 49 and text.endswith("data: [DONE]\n\n")

    assert len(staged(scene).runs) == 1


def test_an_id_comes_again_if_both_sendings_are_repeatable_or_the_runner_refused(staged):
    async def scene(cluster):
        await open_up(cluster)
        url = "http://10.0.1.1:8000/v1/chat/completions"
        async with httpx.AsyncClient(transport=cluster.outside.http_transport()) as client:
            for _ in range(2):
                answer = await client.post(url, json=GOOD, headers={"x-request-id": "r", "x-repeatable": "yes"})
                assert answer.status_code == 200
            for runner in cluster.runners.values():
                runner.refusing = True
            assert (await client.post(url, json=GOOD, headers={"x-request-id": "n"})).headers["x-outcome"] == "not-run"
            for runner in cluster.runners.values():
                runner.refusing = False
            await cluster.outside.sleep(3_000)
            assert (await client.post(url, json=GOOD, headers={"x-request-id": "n"})).status_code == 200

    assert sorted(run.request_id for run in staged(scene).runs) == ["n", "r", "r"]


def test_a_caller_that_leaves_frees_its_seat_and_the_runner(staged):
    async def scene(cluster):
        await open_up(cluster)
        body = {**GOOD, "max_tokens": 500}
        node = cluster.processes["transit1"].node
        async with httpx.AsyncClient(transport=cluster.outside.http_transport()) as client:
            async with client.stream("POST", "http://10.0.1.1:8000/v1/chat/completions", json=body) as answer:
                assert answer.status_code == 200
                assert node.underway and node.burdens.spoken(0.0)
        await cluster.outside.sleep(500)
        assert not node.underway and not node.burdens.spoken(0.0)
        assert [run.pieces < 100 for runner in cluster.runners.values() for run in runner.runs] == [True]

    staged(scene)


def test_operators_get_the_status_that_fits(staged):
    async def scene(cluster):
        await open_up(cluster)
        desk = "http://10.0.9.1:8000/v1/changes"
        sound = {"changeId": "a", "base": 1, **mark_edit("mark-a")}
        wrong_binding = {"kind": "bindings", "name": "x", "value": {"service": "no", "runners": ["no"]}}
        gone = {"kind": "runners", "name": "never", "value": None}
        async with httpx.AsyncClient(transport=cluster.outside.http_transport(), timeout=9) as client:

            async def send(content):
                body = json.dumps(content).encode() if isinstance(content, dict) else content
                answer = await client.post(desk, content=body)
                return answer.status_code, answer.json()

            assert (await send(b"{"))[0] == 400
            assert (await send(b'{"changeId": "a", "base": 1, "base": 2}'))[0] == 400
            assert (await send({"changeId": "a", "base": 1}))[0] == 422
            status, answer = await send({"changeId": "b", "base": 1, "edits": [wrong_binding, gone]})
            assert status == 422 and answer["wrong"] == ["edits.1: runners.never does not exist"]
            status, answer = await send({"changeId": "b", "base": 1, "edits": [wrong_binding]})
            assert status == 422 and len(answer["wrong"]) == 2
            assert (await send(b'{"x": "' + b"y" * 4_300_000 + b'"}'))[0] == 413
            assert (await send(sound))[1]["generation"] == 2
            assert (await send(sound)) == (200, {"status": 200, "generation": 2, "nodes": len(VILLAGE.districts)})
            assert (await send({**sound, **mark_edit("mark-b")}))[0] == 422
            status, answer = await send({**sound, "changeId": "c"})
            assert (status, answer["generation"]) == (409, 2)
            read = (await client.get("http://10.0.9.2:8000/v1/configuration?current=true")).json()
            assert read["generation"] == 2 and "mark-a" in read["configuration"]["services"]

    staged(scene)


def test_a_configuration_of_thousands_of_bindings_is_in_effect_in_time(staged):
    async def scene(cluster):
        await open_up(cluster)
        configuration = cluster.deployment.configuration()
        for at in range(3_000):
            configuration["services"][f"extra-{at}"] = {"dueMs": 5_000}
            configuration["bindings"][f"extra-{at}"] = {
                "service": f"extra-{at}",
                "runners": cluster.deployment.runner_names(),
            }
        change = await cluster.change(1, {"configuration": configuration})
        assert change.status == 200 and change.answered_ms - change.sent_ms < 2_000
        small = await cluster.change(2, mark_edit("mark-small"))
        assert small.status == 200 and small.answered_ms - small.sent_ms < 2_000
        assert {cluster.processes[f"transit{at}"].node.generation() for at in range(1, 5)} == {3}
        await cluster.call(1_000, 1.0)
        assert all(call.outcome == "complete" for call in cluster.history.calls)

    staged(scene)
