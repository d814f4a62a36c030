"""A large configuration on links that need longer for it than any ask waits: it still arrives, and service comes back.

Seen by users on fleets whose routing nodes have links of 5 Mbit/s: a confirmed change of 1,360 routes was not in force
in time, and after a loss of everything no node got its configuration again.
"""

import dataclasses

import anyio
import pytest

from finchswitch.bounds import Bounds
from finchswitch.constants import PEERS_MOST
from finchswitch.simulation.cluster import Cluster
from finchswitch.simulation.deployments import VILLAGE
from finchswitch.simulation.play import play
from finchswitch.simulation.thin_link import ThinLink

LINK_BYTES_PER_MS = 625.0  # 5 Mbit/s
ROUTES = 1_400
IN_FORCE_MS = 3_250.0  # what an acknowledgement may take on such a fleet, and what a change may take after it
SEEDS = (1, 2, 3)
BACK_MS = 12_000.0  # how long service may stay away after everything was lost
BOUNDS = Bounds(
    delivery_wait_ms=750, serves_alone=True, list_shared=True, peers_most=PEERS_MOST, digest_beat_ms=1_000,
    follow_hold_ms=1_000,
)  # fmt: skip
FLEET = dataclasses.replace(VILLAGE, districts=["hill"] * 13, bounds=BOUNDS)


def route_edit(number: int) -> dict:
    """A route as long as those of the users' configurations, some 540 bytes."""
    origin = [{"name": f"r-{number:07}", "note": "x" * 180}]
    value = {
        "host": f"host{number % 90}.example",
        "prefix": f"/path{number}/",
        "targets": {"rulings": 90, "rounds": 10},
        "timeoutMs": 10_000,
        "origin": origin,
    }
    return {"kind": "routes", "name": f"r-{number:07}", "value": value}


def many_routes() -> dict:
    return {"edits": [route_edit(number) for number in range(ROUTES)]}


def thin(cluster: Cluster) -> None:
    for process in cluster.of_kind("transit"):
        cluster.net.links[process.host] = ThinLink(LINK_BYTES_PER_MS)


def generations(cluster: Cluster) -> list[int]:
    return [each.node.generation() if each.node else -1 for each in cluster.of_kind("transit")]


async def until_everywhere(cluster: Cluster, generation: int, most_ms: float) -> list[int]:
    """Wait until every routing node holds a generation, or time is out; what each holds then."""
    with anyio.move_on_after(most_ms / 1000):
        while min(generations(cluster)) < generation:
            await cluster.outside.sleep(20)
    return generations(cluster)


def test_a_change_larger_than_an_ask_waits_for_is_in_force_in_time():
    held = []

    async def scene(cluster):
        thin(cluster)
        await cluster.insist({"configuration": cluster.deployment.configuration()})
        assert await cluster.settle()
        before = cluster.newest()
        sent_ms = cluster.now_ms()
        async with anyio.create_task_group() as group:
            group.start_soon(cluster.insist, many_routes())
            held.append(await until_everywhere(cluster, before + 1, sent_ms + IN_FORCE_MS - cluster.now_ms()))
            group.cancel_scope.cancel()

    for seed in SEEDS:
        play(scene, FLEET, seed)
    assert held == [[2] * len(FLEET.districts)] * len(SEEDS)


@pytest.mark.parametrize("seed", SEEDS)
def test_nodes_that_all_lost_power_get_a_large_configuration_again(seed):
    held = []

    async def scene(cluster):
        await cluster.insist({"configuration": cluster.deployment.configuration()})
        await cluster.insist(many_routes())
        assert await cluster.settle()
        thin(cluster)
        everyone = [each.name for each in [*cluster.of_kind("accord"), *cluster.of_kind("transit")]]
        for name in everyone:
            cluster.kill(name, power=True)
        await cluster.outside.sleep(1_500)
        for name in everyone:
            cluster.start(name)
        held.extend(await until_everywhere(cluster, 2, BACK_MS))

    play(scene, FLEET, seed)
    assert held == [2] * len(FLEET.districts)
