"""Drawn troubles of control machines in several zones: after each the groups are spread, and a zone may be lost.

Every trouble is one that the tolerance allows, and the next begins when the one before has stopped counting. Run this
file with more seeds by ``DRAWN_ZONES_SEEDS=200``.
"""

import os

import pytest

from finchswitch.bounds import Bounds
from finchswitch.control.document import part_names
from finchswitch.simulation.core_losses import holds_after, open_core
from finchswitch.simulation.deployments import Deployment
from finchswitch.simulation.play import play
from test_group_spread import CATCH_UP_MS, found_without, lose_disks, member_zones

TOLERANCE_AND_ZONES = [
    (1, ["a", "a", "b", "b", "c"]),
    (1, ["a", "b", "c", "d"]),
    (1, ["a", "a", "a", "b", "c"]),
    (1, ["a", "a", "b", "b", "c", "c"]),
    (1, ["a", "a", "b", "b", "c", "c", "d"]),
    (2, ["a", "a", "b", "b", "c", "c"]),
    (2, ["a", "a", "a", "b", "b", "c", "d"]),
]
TROUBLES = ["stop", "kill", "power", "freeze", "wipe"]
DARK_MS = [300, 1_200, 2_000, 5_500]  # shorter and longer than a silent member keeps its place
TROUBLES_A_RUN = 4
SEEDS = int(os.environ.get("DRAWN_ZONES_SEEDS", 2 * len(TOLERANCE_AND_ZONES)))


async def trouble(cluster, name):
    kind, dark_ms = cluster.chance.choice(TROUBLES), cluster.chance.choice(DARK_MS)
    if kind == "stop":
        await cluster.stop_softly(name)
    elif kind == "freeze":
        cluster.freeze(name)
    else:
        cluster.kill(name, power=kind != "kill")
    if kind == "wipe":
        cluster.disks.pop(name)
    await cluster.outside.sleep(dark_ms)
    if kind == "freeze":
        cluster.thaw(name)
    else:
        cluster.start(name)
    return kind, name, dark_ms


def assert_spread(cluster, zones, tolerance, troubles):
    most = min(len(set(zones)), 2 * tolerance + 1)
    spread = member_zones(cluster)
    assert spread.keys() == set(part_names()), (troubles, spread)
    assert all(len(set(members)) == most for members in spread.values()), (troubles, spread)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_after_any_one_trouble_the_loss_of_a_zone_loses_nothing(seed):
    """Guards against LOST by a group that some trouble, or some founding, left crowded in a zone."""
    tolerance, zones = TOLERANCE_AND_ZONES[seed % len(TOLERANCE_AND_ZONES)]
    bounds = Bounds(tolerance=tolerance, replace_after_ms=0.35 * CATCH_UP_MS, grace_ms=7_200.0)

    async def scene(cluster):
        names = [process.name for process in cluster.of_kind("accord")]
        if cluster.chance.random() < 0.5:
            await found_without(cluster, names[2 * tolerance + 1 :])
        await open_core(cluster, tolerance)
        await cluster.outside.sleep(CATCH_UP_MS)
        troubles = []
        for _ in range(TROUBLES_A_RUN):
            troubles.append(await trouble(cluster, cluster.chance.choice(names)))
            await cluster.outside.sleep(CATCH_UP_MS)
            assert_spread(cluster, zones, tolerance, troubles)
        await lose_disks(cluster, cluster.chance.choice(sorted(set(zones))))
        assert await holds_after(cluster, tolerance) == "", troubles

    play(scene, Deployment("core", [], len(zones), 1, 1, [], bounds=bounds, core_districts=zones), seed)
