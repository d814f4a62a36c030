"""Whole fleets on the stand-in of the platform, in virtual time; judged by what clients, runners and operator saw."""

import anyio
import httpx

from finchswitch.platform.stand_in_checks import judge, not_whole
from finchswitch.platform.stand_in_documents import DOCUMENT, RESUMED, UNSAFE, added
from finchswitch.platform.stand_in_fleet import play_fleet

BOTH = ("r-unsafe", "r-resumed")


def judged(fleet):
    """What the fleet's callers and runners saw, if no rule was broken and there was something to see."""
    seen = fleet.seen()
    assert judge(seen) == {}
    assert fleet.listing.refused == 0 and len(seen.asked) > 50
    return seen


async def load(fleet, for_ms, per_s=15.0, events=8):
    """Clients of both routes."""
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


async def statuses_everywhere(fleet, route):
    """One request directly to each node; the statuses that came back."""
    async with httpx.AsyncClient(transport=fleet.outside.http_transport()) as client:
        return [(await fleet.ask_once(client, route, node=process.name)).status for process in fleet.of_kind("transit")]


def test_a_calm_day_is_served_whole():
    read = []

    async def scene(fleet):
        await fleet.open_up(DOCUMENT)
        async with anyio.create_task_group() as group:
            group.start_soon(load, fleet, 8_000)
            await change_often(fleet, 4, 1_000)
            gone = await fleet.operate("PATCH", 11, {"revision": 12, "remove": {"routes": ["r-new0"]}})
            assert gone.status == 200
        read.append(await fleet.read_back())
        assert await statuses_everywhere(fleet, added(3)) == [200, 200, 200]
        assert await statuses_everywhere(fleet, added(0)) == [404, 404, 404]

    fleet = play_fleet(scene)
    routes = [UNSAFE, RESUMED, added(1), added(2), added(3)]
    assert read == [{**DOCUMENT, "revision": 12, "routes": routes}]
    seen = judged(fleet)
    assert not_whole(seen, *BOTH, "r-new3") == []
    assert len({run.instance for run in seen.ran}) == 3


def test_a_release_cuts_nothing_and_runs_nothing_twice():
    async def scene(fleet):
        await fleet.open_up(DOCUMENT)
        async with anyio.create_task_group() as group:
            group.start_soon(load, fleet, 20_000)
            for at in (1, 2, 3):
                fleet.start_runner(f"site-r{at}", f"site-r{at}-i2")
                await fleet.outside.sleep(2_000)
                fleet.leave(f"site-r{at}-i1")
                await fleet.outside.sleep(3_600)
                fleet.listing.remove(f"site-r{at}-i1")
                fleet.kill(f"site-r{at}-i1")

    fleet = play_fleet(scene)
    seen = judged(fleet)
    assert not_whole(seen, *BOTH) == []
    assert len(fleet.listing.draining_ms) == 3
    assert {run.instance for run in seen.ran if run.at_ms > max(fleet.listing.draining_ms.values()) + 3_000} == {
        f"site-r{at}-i2" for at in (1, 2, 3)
    }


def test_changes_go_on_when_the_owner_of_the_configuration_is_killed():
    killed, read = [], []

    async def scene(fleet):
        await fleet.open_up(DOCUMENT)

        async def kill():
            await fleet.outside.sleep(1_550)
            killed.append(fleet.owner())
            fleet.kill(killed[0])
            await fleet.outside.sleep(5_000)
            fleet.start(killed[0])

        async with anyio.create_task_group() as group:
            group.start_soon(load, fleet, 10_000)
            group.start_soon(kill)
            await change_often(fleet, 12, 300)
        read.append(await fleet.read_back())
        assert await statuses_everywhere(fleet, added(11)) == [200, 200, 200]

    fleet = play_fleet(scene)
    seen = judged(fleet)
    assert not_whole(seen, *BOTH, "r-new11") == []
    assert killed[0].startswith("accord")
    assert read == [{**DOCUMENT, "revision": 27, "routes": [UNSAFE, RESUMED, *(added(at) for at in range(12))]}]
    assert max(sent.end_ms - sent.sent_ms for sent in fleet.sent) < 4_000


def test_an_empty_machine_at_a_new_address_takes_the_place_of_a_lost_one():
    read = []

    async def scene(fleet):
        await fleet.open_up(DOCUMENT)
        async with anyio.create_task_group() as group:
            group.start_soon(load, fleet, 16_000)
            match = await change_often(fleet, 2, 300)
            await fleet.replace_core("accord1", "accord4", "10.0.9.44")
            match = await change_often(fleet, 2, 300, match)
            await fleet.outside.sleep(7_000)
            fleet.kill("accord2", power=True)  # what is left must have taken the new machine in, to be a majority
            match = await change_often(fleet, 4, 300, match)
        read.append((match, await fleet.read_back()))
        assert await statuses_everywhere(fleet, added(3)) == [200, 200, 200]

    fleet = play_fleet(scene)
    seen = judged(fleet)
    assert not_whole(seen, *BOTH, "r-new3") == []
    routes = [UNSAFE, RESUMED, *(added(at) for at in range(4))]
    assert read == [(19, {**DOCUMENT, "revision": 19, "routes": routes})]


def test_a_broken_stream_is_taken_up_where_that_is_allowed_and_cut_where_not():
    async def scene(fleet):
        await fleet.open_up(DOCUMENT)
        async with anyio.create_task_group() as group:
            group.start_soon(load, fleet, 6_000)
            await fleet.outside.sleep(1_000)
            fleet.instances["site-r1-i1"].break_after = 3
            fleet.instances["site-r2-i1"].event_ms = 40
            await fleet.outside.sleep(3_000)
            fleet.instances["site-r1-i1"].break_after = None

    fleet = play_fleet(scene)
    seen = judged(fleet)
    broken = [run for run in seen.ran if not run.whole]
    assert len(broken) > 4 and {run.instance for run in broken} == {"site-r1-i1"}
    passed_on = {run.attempt: run.events for run in broken}
    asked = [each for each in fleet.asked if each.attempt in passed_on]
    resumed = [each for each in asked if each.route["stream_resumption"]]
    cut = [each for each in asked if not each.route["stream_resumption"]]
    assert resumed and cut
    for each in resumed:
        instances, events = [instance for _, _, _, instance in each.got], passed_on[each.attempt]
        assert each.whole and len(instances) == 8 and instances[:events] == ["site-r1-i1"] * events
        assert "site-r1-i1" not in instances[events:]
        (again,) = [run for run in seen.ran if run.attempt == each.attempt and run.after]
        assert (again.after, again.instance) == (events, instances[-1])
    for each in cut:
        numbers = [number for number, _, _, _ in each.got]
        assert each.status == 200 and not each.whole and numbers == list(range(1, passed_on[each.attempt] + 1))
    assert {attempt for attempt, _, _ in not_whole(seen, *BOTH)} == {each.attempt for each in cut}


def test_a_stream_that_breaks_before_its_first_event_runs_again_only_where_that_is_allowed():
    async def scene(fleet):
        await fleet.open_up(DOCUMENT)
        async with anyio.create_task_group() as group:
            group.start_soon(load, fleet, 4_000)
            await fleet.outside.sleep(1_000)
            fleet.instances["site-r1-i1"].break_after = 0
            await fleet.outside.sleep(2_000)
            fleet.instances["site-r1-i1"].break_after = None

    fleet = play_fleet(scene)
    seen = judged(fleet)
    broken = {run.attempt for run in seen.ran if not run.whole and run.events == 0}
    unsafe = [each for each in seen.asked if each.attempt in broken and each.route is UNSAFE]
    resumed = [each for each in seen.asked if each.attempt in broken and each.route is RESUMED]
    assert unsafe and resumed
    assert {(each.status, each.whole) for each in unsafe} == {(502, False)}
    assert {(each.status, each.whole) for each in resumed} == {(200, True)}


def test_an_address_given_to_another_service_runs_nothing_of_the_old_one():
    async def scene(fleet):
        await fleet.open_up(DOCUMENT)
        async with anyio.create_task_group() as group:
            group.start_soon(load, fleet, 8_000)
            await fleet.outside.sleep(2_000)
            host = fleet.processes["site-r1-i1"].host
            fleet.kill("site-r1-i1")
            fleet.start_runner("other-r1", "other-i1", host, "s-other")
            await fleet.outside.sleep(3_000)
            fleet.listing.remove("site-r1-i1")

    fleet = play_fleet(scene)
    seen = judged(fleet)
    other = fleet.instances["other-i1"]
    assert other.ran == [] and {each.status for each in other.reached} == {421}
    lost = not_whole(seen, *BOTH)
    cut = {run.attempt for run in seen.ran if run.instance == "site-r1-i1" and not run.whole}
    assert {attempt for attempt, _, _ in lost} <= cut
    assert {each.route["name"] for each in seen.asked if each.attempt in {one for one, _, _ in lost}} <= {"r-unsafe"}


def test_a_planned_stop_under_load_cuts_no_answer():
    left = []

    async def scene(fleet):
        await fleet.open_up(DOCUMENT)
        async with anyio.create_task_group() as group:
            group.start_soon(load, fleet, 12_000, 15.0, 60)
            await fleet.outside.sleep(2_000)
            began_ms = fleet.now_ms()
            await fleet.stop_softly("transit1")
            left.append((began_ms, fleet.now_ms()))
            await fleet.outside.sleep(1_000)
            fleet.start("transit1")

    fleet = play_fleet(scene)
    seen = judged(fleet)
    assert not_whole(seen, *BOTH) == []
    began_ms, ended_ms = left[0]
    assert ended_ms - began_ms < 8_000
    under_way = [each for each in fleet.asked if each.node == "transit1" and each.at_ms < began_ms < each.end_ms]
    assert under_way and any(each.node == "transit1" and each.at_ms > ended_ms for each in fleet.asked)
