"""Whole fleets on the stand-in of the platform, in virtual time; what its clients, runners and operator saw is judged."""

import httpx

from finchswitch.platform.stand_in_fleet import SERVICE, play_fleet

UNSAFE = {
    "name": "r-unsafe",
    "host_name": "one.example",
    "path_prefix": "/unsafe/",
    "route_type": "streaming",
    "timeout_ms": 10_000,
    "target_latency_ms": 800,
    "target_gap_ms": 200,
    "priority_level": 1,
    "target_service": SERVICE,
    "max_attempts": 3,
    "stream_resumption": False,
}
RESUMED = {**UNSAFE, "name": "r-resumed", "path_prefix": "/resumed/", "stream_resumption": True, "priority_level": 0}
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 5_000,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
ENGINE = {"capacity_slots": 16, "kv_capacity": 443_888, "models": [{"name": "m"}]}
SERVICES = [{"name": SERVICE, "health_path": "/health", "max_connections": 370, "engine": ENGINE}]
DOCUMENT = {"revision": 3, "routes": [UNSAFE, RESUMED], "services": SERVICES, "limits": LIMITS}


def added(at):
    return {**UNSAFE, "name": f"r-new{at}", "path_prefix": f"/new{at}/"}


def not_whole(fleet):
    return [(each.attempt, each.status, each.reason) for each in fleet.asked if not (each.status == 200 and each.whole)]


def torn(fleet):
    """Answers in which a piece is missing, doubled, joined to another's, or the head is not that of their first run."""
    wrong = []
    seals = {run.seal: run for run in fleet.ran()}
    for each in (asked for asked in fleet.asked if asked.status == 200):
        numbers = [number for number, _, _, _ in each.got]
        own = all(attempt == each.attempt and at == number for number, attempt, at, _ in each.got)
        most = list(range(1, each.events + 1))
        right = numbers == most if each.whole else numbers == most[: len(numbers)]
        first = seals.get(each.headers.get("x-server-seal", ""))
        headed = first is not None and first.attempt == each.attempt == each.headers.get("x-attempt-id")
        if each.got and headed:
            headed = first.instance == each.got[0][3] and first.after == 0
        joined = len({instance for _, _, _, instance in each.got}) > 1 and not each.route["stream_resumption"]
        if not own or not right or not headed or joined:
            wrong.append((each.attempt, each.got, each.headers))
    return wrong


def run_more_than_once(fleet):
    routes = {each.attempt: each.route for each in fleet.asked}
    attempts = [run.attempt for run in fleet.ran() if not routes[run.attempt]["stream_resumption"]]
    return sorted({each for each in attempts if attempts.count(each) > 1})


def reworded(fleet):
    """Runs of a request that no client sent so."""
    sent = {
        each.attempt: ("POST", f"{each.route['path_prefix']}2f?q={each.attempt}", each.body) for each in fleet.asked
    }
    return [run.words for run in fleet.ran() if run.words != sent.get(run.attempt)]


def refused_but_run(fleet):
    ran = {run.attempt for run in fleet.ran()}
    return [each.attempt for each in fleet.asked if each.status in (408, 421, 429, 503) and each.attempt in ran]


def late_at_draining(fleet):
    """Requests that reached a runner too long after the list showed it as draining."""
    until_ms = {instance: at_ms + 3_000 for instance, at_ms in fleet.listing.draining_ms.items()}
    return [each for each in fleet.reached() if each.status != 421 and each.at_ms > until_ms.get(each.instance, 1e18)]


def over_budget(fleet):
    extra = len(fleet.reached()) - len({each.attempt for each in fleet.reached()})
    return max(0.0, extra - 0.2 * len(fleet.asked) - 52)


def judge(fleet):
    checks = (torn, run_more_than_once, reworded, refused_but_run, late_at_draining, over_budget)
    assert {check.__name__: found for check in checks if (found := check(fleet))} == {}
    assert fleet.listing.refused == 0 and len(fleet.asked) > 50


async def load(fleet, for_ms, per_s=15.0, events=8):
    """Clients of both routes."""
    import anyio

    async with anyio.create_task_group() as group:
        for route in (UNSAFE, RESUMED):
            group.start_soon(fleet.ask_openly, route, per_s, for_ms, events)


async def change_often(fleet, count, pause_ms, match=3):
    """One route more with each change; each builds on the last that was acknowledged."""
    for at in range(count):
        patch = {"revision": match + 2, "upsert": {"routes": [added(at)]}}
        sent = await fleet.operate("PATCH", match, patch)
        assert sent.status == 200, (sent.status, sent.answer)
        match += 2
        await fleet.outside.sleep(pause_ms)
    return match


async def served_everywhere(fleet, route):
    """One request directly to each node; the statuses that came back."""
    statuses = []
    async with httpx.AsyncClient(transport=fleet.outside.http_transport()) as client:
        for actor in fleet.of_kind("transit"):
            headers = {"host": route["host_name"], "x-attempt-id": f"{fleet.chance.getrandbits(64):016x}"}
            url = f"http://{actor.host}:8000{route['path_prefix']}x"
            statuses.append((await client.get(url, headers=headers, timeout=5)).status_code)
    return statuses


def test_a_calm_day_is_served_whole():
    read = []

    async def scene(fleet):
        import anyio

        await fleet.open_up(DOCUMENT)
        async with anyio.create_task_group() as group:
            group.start_soon(load, fleet, 8_000)
            await change_often(fleet, 4, 1_000)
            gone = await fleet.operate("PATCH", 11, {"revision": 12, "remove": {"routes": ["r-new0"]}})
            assert gone.status == 200
        read.append(await fleet.read_back())
        assert await served_everywhere(fleet, added(3)) == [200, 200, 200]
        assert await served_everywhere(fleet, added(0)) == [404, 404, 404]

    fleet = play_fleet(scene)
    routes = [UNSAFE, RESUMED, added(1), added(2), added(3)]
    assert read == [{**DOCUMENT, "revision": 12, "routes": routes}]
    assert not_whole(fleet) == []
    kinds = {each.route["name"] for each in fleet.asked}
    assert kinds == {"r-unsafe", "r-resumed"} and len({run.instance for run in fleet.ran()}) == 3
