"""What clients and operators get at the doors for input that is wrong, while others are served undisturbed."""

import json

import anyio
import httpx

from finchswitch.platform.stand_in_checks import judge, not_whole
from finchswitch.platform.stand_in_documents import DOCUMENT, RESUMED, UNSAFE, added
from finchswitch.platform.stand_in_fleet import play_fleet


async def chunks(size):
    for _ in range(0, size, 1_000):
        yield b"x" * 1_000


def request(attempt="a1", host="one.example", path="/unsafe/x", body=b"b"):
    headers = {"host": host, "x-deadline-remaining": "5000", **({"x-attempt-id": attempt} if attempt else {})}
    return "POST", f"http://10.0.1.1:8000{path}", headers, body


def test_a_clients_mistakes_are_refused_at_once_and_disturb_nobody():
    most = DOCUMENT["limits"]["max_body_bytes"]
    cases = [
        (request(body=b"x" * (most + 1)), 413),
        (request(body=chunks(most + 1_000)), 413),
        (request(attempt=""), 400),
        (request(host="nobody.example"), 404),
        (request(path="/nothing/x"), 404),
        (request(path="/unsafe"), 404),
        (request(path="/"), 404),
    ]
    got, fits = [], []

    async def scene(fleet):
        await fleet.open_up(DOCUMENT)

        async def knock():
            async with httpx.AsyncClient(transport=fleet.outside.http_transport(), timeout=5) as client:
                for (method, url, headers, body), _ in cases:
                    began_ms = fleet.now_ms()
                    answer = await client.request(method, url, headers=headers, content=body)
                    echoed = answer.headers.get("x-attempt-id", "") == headers.get("x-attempt-id", "")
                    got.append((answer.status_code, echoed, fleet.now_ms() - began_ms < 100))
                    assert "x-server-seal" not in answer.headers
                method, url, headers, body = request(attempt="fits", body=b"x" * most)
                fits.append((await client.request(method, url, headers=headers, content=body)).status_code)

        async with anyio.create_task_group() as group:
            group.start_soon(fleet.ask_openly, UNSAFE, 15, 3_000)
            group.start_soon(fleet.ask_openly, RESUMED, 15, 3_000)
            await fleet.outside.sleep(500)
            await knock()

    fleet = play_fleet(scene)
    seen = fleet.seen()
    assert got == [(status, True, True) for _, status in cases] and fits == [200]
    assert len(seen.asked) > 50 and not_whole(seen, "r-unsafe", "r-resumed") == []
    assert {each.attempt for each in seen.reached} - {each.attempt for each in seen.asked} == {"fits"}
    seen.ran = [run for run in seen.ran if run.attempt != "fits"]
    assert judge(seen) == {}


def test_before_the_first_configuration_a_request_is_promised_not_to_run():
    got = []

    async def scene(fleet):
        fleet.start_all()
        await fleet.outside.sleep(2_000)
        method, url, headers, body = request()
        async with httpx.AsyncClient(transport=fleet.outside.http_transport()) as client:
            got.append(await client.request(method, url, headers=headers, content=body))

    assert not play_fleet(scene).seen().reached
    assert got[0].status_code == 503 and float(got[0].headers["retry-after"]) > 0


def test_operators_get_the_status_that_fits():
    read, statuses = [], []
    clash = {**UNSAFE, "name": "r-clash"}
    wrong = [
        (b"{", "3", 400, ""),
        (b'{"revision": 4, "revision": 5}', "3", 400, ""),
        (json.dumps({"revision": 5}).encode(), None, 400, "If-Match"),
        (json.dumps({"revision": 5}).encode(), "x", 400, "If-Match"),
        (json.dumps({"revision": 3}).encode(), "3", 400, "revision"),
        (json.dumps({"revision": 2}).encode(), "3", 400, "revision"),
        (json.dumps({"revision": 5, "routes": []}).encode(), "3", 400, "routes"),
        (json.dumps({"revision": 5, "upsert": {"routes": [clash]}}).encode(), "3", 400, "routes.r-clash.path_prefix"),
        (json.dumps({"revision": 5, "remove": {"services": ["s-main"]}}).encode(), "3", 400, "target_service"),
        (json.dumps({"revision": 5}).encode(), "2", 412, ""),
        (json.dumps({"revision": 5}).encode(), "0", 412, ""),
        (b'{"x": "' + b"y" * 4_300_000 + b'"}', "3", 413, ""),
    ]

    async def scene(fleet):
        await fleet.open_up(DOCUMENT)
        url = "http://10.0.9.{}:8000/api/configuration"
        async with httpx.AsyncClient(transport=fleet.outside.http_transport(), timeout=9) as client:
            for at, (body, match, status, field) in enumerate(wrong):
                headers = {"if-match": match} if match else {}
                answer = await client.patch(url.format(1 + at % 3), content=body, headers=headers)
                statuses.append((answer.status_code, status))
                assert field in answer.text, answer.text
        read.append(await fleet.read_back())
        assert (await fleet.operate("PUT", 0, DOCUMENT)).status == 200  # sent again as it was
        rivals = [{"revision": 7, "upsert": {"routes": [added(at)]}} for at in range(2)]
        async with anyio.create_task_group() as group:
            for rival in rivals:
                group.start_soon(fleet.operate, "PATCH", 3, rival)
        read.append(await fleet.read_back())

    fleet = play_fleet(scene)
    assert [got for got, _ in statuses] == [due for _, due in statuses]
    assert read[0] == DOCUMENT
    first, second = fleet.sent[-2:]
    assert sorted([first.status, second.status]) == [200, 412]
    won = first if first.status == 200 else second
    assert read[1] == {**DOCUMENT, "revision": 7, "routes": [*DOCUMENT["routes"], *won.document["upsert"]["routes"]]}


def test_what_full_runners_turned_away_is_refused_and_never_runs():
    async def scene(fleet):
        await fleet.open_up(DOCUMENT)
        for instance in fleet.instances.values():
            instance.turn_full(3)
        async with anyio.create_task_group() as group:
            group.start_soon(fleet.ask_openly, UNSAFE, 40, 2_000)
            group.start_soon(fleet.ask_openly, RESUMED, 40, 2_000)

    seen = play_fleet(scene).seen()
    assert judge(seen) == {}
    refused = [each for each in seen.asked if each.status in (429, 503)]
    assert refused and all(float(each.headers["retry-after"]) > 0 for each in refused)
    assert not {each.attempt for each in refused} & {run.attempt for run in seen.ran}
    turned_away = {each.attempt for each in seen.reached if each.status == 503}
    assert turned_away & {each.attempt for each in refused}
    assert turned_away & {each.attempt for each in seen.asked if each.status == 200 and each.whole}
