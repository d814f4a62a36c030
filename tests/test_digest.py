"""A fleet too large to tell everybody: few peers are beaten, and the rest is heard as sums from the control nodes."""

from dataclasses import replace

import anyio
import httpx

from finchswitch.bounds import Bounds
from finchswitch.control.changes import take_change
from finchswitch.errors import FleetError
from finchswitch.membership.sessions import Sessions
from finchswitch.router.roster import Roster
from finchswitch.simulation.cluster import Cluster
from finchswitch.simulation.deployments import VILLAGE
from finchswitch.simulation.hollow import HollowRun, run_hollow
from finchswitch.simulation.play import in_virtual_time
from finchswitch.simulation.scenes import mark_edit, open_up


class Large(Cluster):
    """A small fleet that beats one peer each, as if it were too large."""

    bounds = Bounds(peers_most=1)

    def _startup(self, process):
        return replace(super()._startup(process), bounds=self.bounds)


class Slow(Large):
    """The same with beats and held asks so far apart that nothing may wait for the next."""

    bounds = Bounds(peers_most=1, list_shared=True, digest_beat_ms=8_000.0, follow_hold_ms=8_000.0)


def play_large(scene, kind=Large):
    async def run():
        async with anyio.create_task_group() as group:
            cluster = kind(VILLAGE, 1, group)
            cluster.start_all()
            await scene(cluster)
            group.cancel_scope.cancel()

    in_virtual_time(run, 1)


def test_what_a_node_sends_does_not_grow_with_the_fleet():
    few, more = (run_hollow(HollowRun(nodes, watch_s=2.0, changes=1, peers_most=3)) for nodes in (8, 24))
    assert more["nodeMessagesPerS"] < 1.2 * few["nodeMessagesPerS"]
    assert more["nodeBytesPerS"] < 1.3 * few["nodeBytesPerS"]
    assert (few["fewestListed"], more["fewestListed"]) == (8, 24)
    assert all(delay_ms < 100 for delay_ms in few["inForceMs"] + more["inForceMs"])


def test_a_node_hears_the_burden_of_nodes_that_it_never_beats():
    async def scene(cluster):
        await open_up(cluster)
        nodes = {name: cluster.processes[name].node for name in ("transit1", "transit2", "transit3", "transit4")}
        body = {"model": "rulings", "stream": True, "messages": [{"role": "user", "content": "hi"}], "max_tokens": 400}
        async with httpx.AsyncClient(transport=cluster.outside.http_transport()) as client:
            async with client.stream("POST", "http://10.0.1.1:8000/v1/chat/completions", json=body) as answer:
                assert answer.status_code == 200
                await cluster.outside.sleep(1_500)
                incarnation = answer.headers["x-incarnation"]
                now_ms = {name: node.world.now_ms() for name, node in nodes.items()}
                seats = {name: node.burdens.seats(incarnation, now_ms[name]) for name, node in nodes.items()}
                assert seats == dict.fromkeys(nodes, 1)
                asked = {name: set(node.member.heard_ms) for name, node in nodes.items()}
                assert all(len(peers) < len(nodes) - 1 for peers in asked.values())
        await cluster.outside.sleep(6_000)  # a runner's own late report counts by half for a while
        assert {node.burdens.seats(incarnation, node.world.now_ms()) for node in nodes.values()} == {0}

    play_large(scene)


def test_a_change_of_members_reaches_nodes_that_are_told_of_changes_only():
    async def scene(cluster):
        await open_up(cluster)
        node = cluster.processes["transit1"].node
        before = {each["name"] for each in node.member.members}
        cluster.kill("transit3")
        await cluster.outside.sleep(3_000)
        assert {each["name"] for each in node.member.members} == before - {"transit3"}
        cluster.start("transit3")
        await cluster.outside.sleep(3_000)
        assert {each["name"] for each in node.member.members} == before

    play_large(scene)


def test_longer_beats_and_held_asks_send_less_and_a_change_is_as_fast():
    short, long = (
        run_hollow(HollowRun(24, watch_s=4.0, changes=2, peers_most=8, digest_beat_ms=beat, follow_hold_ms=hold))
        for beat, hold in ((250.0, 200.0), (1_000.0, 1_000.0))
    )
    assert long["nodeMessagesPerS"] < 0.4 * short["nodeMessagesPerS"]
    assert all(delay_ms < 100 for delay_ms in long["inForceMs"])


def test_a_changed_list_reaches_all_at_once_and_its_age_without_peers():
    async def scene(cluster):
        await open_up(cluster)
        await cluster.outside.sleep(10_000)
        rosters = [process.node.roster for process in cluster.of_kind("transit")]
        reads = sum(1 for process in cluster.of_kind("transit") if process.node.duties.reads_list())
        assert reads == 1
        assert all(roster.list_age_ms() < 2 * Slow.bounds.list_poll_ms for roster in rosters)
        incarnation = next(iter(cluster.platform.points))
        cluster.leave(incarnation)
        await cluster.outside.sleep(Slow.bounds.list_poll_ms + 100)
        assert all(incarnation in roster.leaving() for roster in rosters)

    play_large(scene, Slow)


def test_a_dark_parent_that_holds_asks_for_long_does_not_delay_a_change():
    async def scene(cluster):
        await open_up(cluster)
        await cluster.outside.sleep(1_000)
        nodes = {process.name: process.node for process in cluster.of_kind("transit")}
        addresses = {node.member.card["address"]: name for name, node in nodes.items()}
        parents = {addresses[node.follower.source] for node in nodes.values() if node.follower.source in addresses}
        dark = sorted(parents)[0]
        cluster.kill(dark, power=True)
        change = {**mark_edit("mark-dark"), "base": nodes[dark].generation(), "changeId": "dark"}
        owner = next(p.control for p in cluster.of_kind("accord") if p.control.proposers["creed"].owns())
        began_ms = owner.world.now_ms()
        async with anyio.create_task_group() as group:
            group.start_soon(take_change, owner, change)
            rest = [node for name, node in nodes.items() if name != dark]
            with anyio.fail_after(5):
                while any("mark-dark" not in node.configuration().services for node in rest):
                    await cluster.outside.sleep(10)
            assert owner.world.now_ms() - began_ms < 800

    play_large(scene, Slow)


def test_a_view_of_the_list_ages_from_when_it_may_have_been_sent():
    sessions = Sessions()
    beat = {"generations": {}}
    for now_ms in (1_000.0, 5_000.0):  # the second was sent any time between, and may have lain in a buffer
        sessions.beat("n1", beat, "line", now_ms)
        sessions.hear_word("n1", {"list": ["mark", 300.0]}, now_ms)
    assert sessions.others("n2", 5_100.0)["list"] == ["mark", 4_400.0]
    sessions.told_digest("s2", {"list": ["other", 10.0]}, 5_100.0, None)
    assert sessions.others("n2", 5_100.0)["list"] == ["mark", 4_400.0]
    sessions.told_digest("s2", {"list": ["other", 10.0]}, 5_100.0, 5_050.0)
    assert sessions.others("n2", 5_100.0)["list"] == ["other", 60.0]


def test_readers_that_share_a_rate_wait_longer_each_time_the_list_cannot_be_read():
    class Refusing:
        def __init__(self):
            self.at_ms = []

        async def read(self, wait_ms):
            self.at_ms.append(anyio.current_time() * 1000)
            raise FleetError.silent("list", "platform", "429")

    async def run():
        async with anyio.create_task_group() as group:
            cluster = Cluster(VILLAGE, 1, group)
            lister = Refusing()
            bounds = Bounds(list_shared=True, list_poll_ms=750.0)
            group.start_soon(Roster(cluster.outside, lister, None, bounds).poll, lambda: True)
            await anyio.sleep(10)
            group.cancel_scope.cancel()
        return lister.at_ms

    at_ms = in_virtual_time(run, 1)
    assert len(at_ms) < 25  # every 75 ms it would be more than 130
    assert at_ms[1] - at_ms[0] < 150
