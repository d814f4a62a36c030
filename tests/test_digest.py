"""A fleet too large to tell everybody: few peers are beaten, and the rest is heard as sums from the control nodes."""

from dataclasses import replace

import anyio
import httpx

from finchswitch.bounds import Bounds
from finchswitch.errors import FleetError
from finchswitch.router.roster import Roster
from finchswitch.simulation.cluster import Cluster
from finchswitch.simulation.deployments import VILLAGE
from finchswitch.simulation.hollow import HollowRun, run_hollow
from finchswitch.simulation.play import in_virtual_time
from finchswitch.simulation.scenes import open_up


class Large(Cluster):
    """A small fleet that beats one peer each, as if it were too large."""

    def _startup(self, process):
        return replace(super()._startup(process), bounds=Bounds(peers_most=1))


def play_large(scene):
    async def run():
        async with anyio.create_task_group() as group:
            cluster = Large(VILLAGE, 1, group)
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
