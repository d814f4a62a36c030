"""Nothing happens for over a minute: what is still listed stays known, and what is gone is still forgotten."""

from dataclasses import astuple, replace

import pytest

from finchswitch.bounds import Bounds
from finchswitch.simulation.deployments import VILLAGE
from finchswitch.simulation.play import play
from finchswitch.simulation.scenes import open_up

QUIET_MS = 100_000.0  # past every time after which something is forgotten
SHARED_LIST = replace(VILLAGE, bounds=Bounds(list_shared=True, serves_alone=True))


def nodes(cluster):
    return {process.name: process.node for process in cluster.of_kind("transit")}


def listed(cluster):
    return sorted(cluster.platform.points)


def assert_all_know_all_runners(cluster):
    assert {name: sorted(node.roster.known) for name, node in nodes(cluster).items()} == {
        name: listed(cluster) for name in nodes(cluster)
    }
    assert all(node.ready() and len(node.roster.up()) == len(listed(cluster)) for node in nodes(cluster).values())


@pytest.mark.parametrize("seed", [1, 2])
def test_an_unchanged_list_that_is_shared_keeps_all_runners_at_all_nodes(seed):
    """Guards against CONFIG: nodes that only heard that the list is unchanged forgot all runners and refused all."""

    async def scene(cluster):
        await open_up(cluster)
        await cluster.outside.sleep(QUIET_MS)
        assert_all_know_all_runners(cluster)
        await cluster.call(3_000, 1.0)

    history = play(scene, SHARED_LIST, seed)
    assert history.calls and all(call.outcome == "complete" for call in history.calls)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_list_that_cannot_be_read_for_minutes_takes_no_runner(seed):
    """Guards against nodes that refuse all since the platform is silent, while all runners still answer."""

    async def scene(cluster):
        await open_up(cluster)
        cluster.platform.failing = True
        await cluster.outside.sleep(QUIET_MS)
        assert_all_know_all_runners(cluster)
        await cluster.call(3_000, 1.0)
        cluster.platform.failing = False
        await cluster.outside.sleep(3_000)
        assert_all_know_all_runners(cluster)

    history = play(scene, SHARED_LIST, seed)
    assert history.calls and all(call.outcome == "complete" for call in history.calls)


def test_a_runner_that_left_a_shared_list_is_forgotten_at_all_nodes():
    """Guards against memory that grows with every runner that ever was."""

    async def scene(cluster):
        await open_up(cluster)
        await cluster.call(2_000, 1.0)
        gone, back = "village-r1-i1", "village-r2-i1"
        cluster.leave(gone)
        points = {each: cluster.platform.points.pop(each) for each in (gone, back)}
        await cluster.outside.sleep(30_000)
        cluster.platform.points[back] = points[back]
        await cluster.outside.sleep(QUIET_MS)
        assert_all_know_all_runners(cluster)
        assert all(gone not in node.beliefs.counts() for node in nodes(cluster).values())

    play(scene, SHARED_LIST, 1)


def test_a_runner_that_is_listed_again_while_others_are_forgotten_stays(monkeypatch):
    """Guards against CONFIG by a race: while connections of one that is gone are closed, another comes back."""

    async def scene(cluster):
        await open_up(cluster)
        roster = next(node.roster for node in nodes(cluster).values() if not node.duties.reads_list())
        first, second = "village-r1-i1", "village-r2-i1"
        rows = list(roster._rows)
        points = {each: cluster.platform.points.pop(each) for each in (first, second)}
        await cluster.outside.sleep(3_000)
        for each in (first, second):
            monkeypatch.setattr(roster.known[each], "unlisted_since_ms", -1e9)
        close = roster.known[first].transport.aclose

        async def close_while_a_list_comes():
            cluster.platform.points[second] = points[second]
            told = [list(astuple(each)) for each in rows if each.incarnation != first]
            beat = {"name": "transit9", "leaving": [], "listAgeMs": 0.0, "list": told}
            roster.hear_peer(beat, roster._world.now_ms())
            await close()

        monkeypatch.setattr(roster.known[first].transport, "aclose", close_while_a_list_comes)
        await cluster.outside.sleep(20_000)
        assert first not in roster.known and second in roster.known

    play(scene, SHARED_LIST, 1)
