"""Each part's group spans the zones: whatever crowded it into one, live members of empty zones take places again."""

from dataclasses import replace

import pytest

from finchswitch.bounds import Bounds
from finchswitch.control.document import part_names
from finchswitch.control.placement import choose_crowded
from finchswitch.simulation.core_losses import holds_after, open_core, until_full
from finchswitch.simulation.deployments import Deployment
from finchswitch.simulation.play import play

CATCH_UP_MS = 4_000.0  # of the users' deployments: a machine counts as lost for so long after its return
ZONES = ["zone-a", "zone-a", "zone-b", "zone-b", "zone-c"]
BOUNDS = Bounds(replace_after_ms=0.35 * CATCH_UP_MS, grace_ms=7_200.0)
FIVE_IN_THREE_ZONES = Deployment("core", [], 5, 1, 1, [], bounds=BOUNDS, core_districts=ZONES)
SEVEN_IN_FOUR_ZONES = Deployment(
    "core",
    [],
    7,
    1,
    1,
    [],
    bounds=Bounds(tolerance=2, replace_after_ms=0.35 * CATCH_UP_MS, grace_ms=7_200.0),
    core_districts=["zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-d"],
)
FOUR_IN_THREE_REGIONS = Deployment(
    "core",
    [],
    4,
    1,
    1,
    [],
    bounds=replace(BOUNDS, survives_regions=True),
    core_districts=["north/zone-a", "north/zone-b", "south/zone-c", "west/zone-d"],
)


def in_zone(cluster, zone):
    """The control machines of a zone, or of a region: zones are named ``region/zone`` where there are several."""
    return [process.name for process in cluster.of_kind("accord") if process.district.startswith(zone)]


def member_zones(cluster):
    """The zones of the members of each part's group, as the part's owner has it."""
    running = [a for a in cluster.of_kind("accord") if a.group is not None]
    zone_of = {a.control.store.store: a.district for a in running}
    owned = [(part, a.control.proposers[part]) for a in running for part in part_names()]
    return {
        part: sorted(zone_of.get(store, "gone") for store in proposer.document["group"])
        for part, proposer in owned
        if proposer.owns()
    }


def steps(cluster):
    running = [a.control for a in cluster.of_kind("accord") if a.group is not None]
    owned = [(part, each.proposers[part]) for each in running for part in part_names()]
    return {part: proposer.document["step"] for part, proposer in owned if proposer.owns()}


async def lose_disks(cluster, zone):
    for name in in_zone(cluster, zone):
        cluster.kill(name, power=True)
        cluster.disks.pop(name)
    await cluster.outside.sleep(1_200)
    for name in in_zone(cluster, zone):
        cluster.start(name)


async def restart_the_only_member_of_its_zone(cluster):
    await open_core(cluster)
    await cluster.stop_softly("accord5")
    await cluster.outside.sleep(300)
    cluster.start("accord5")


async def found_without(cluster, late):
    """Let the core be founded while these machines are not up yet, then start them."""
    await cluster.outside.sleep(1)  # until their processes run: only what runs can be killed
    for name in late:
        cluster.kill(name, power=True)
    await cluster.outside.sleep(3_000)
    for name in late:
        cluster.start(name)


async def found_before_the_other_zones_are_up(cluster):
    await found_without(cluster, ["accord4", "accord5"])
    await open_core(cluster)


async def lose_power_of_a_zone_for_a_while(cluster):
    await open_core(cluster)
    cluster.kill("accord5", power=True)
    await cluster.outside.sleep(5_500)
    cluster.start("accord5")


async def freeze_the_only_member_of_its_zone(cluster):
    await open_core(cluster)
    cluster.freeze("accord5")
    await cluster.outside.sleep(5_500)
    cluster.thaw("accord5")


CROWDED_BY = [
    restart_the_only_member_of_its_zone,
    found_before_the_other_zones_are_up,
    lose_power_of_a_zone_for_a_while,
    freeze_the_only_member_of_its_zone,
]


@pytest.mark.parametrize("zone", ["zone-a", "zone-b", "zone-c"])
@pytest.mark.parametrize("crowd", CROWDED_BY)
def test_the_loss_of_a_zones_disks_loses_nothing_acknowledged(crowd, zone):
    """Guards against LOST: two of three members stood in one zone for good, and its loss took the configuration."""

    async def scene(cluster):
        await crowd(cluster)
        await cluster.outside.sleep(CATCH_UP_MS)
        assert member_zones(cluster) == dict.fromkeys(part_names(), ["zone-a", "zone-b", "zone-c"])
        await lose_disks(cluster, zone)
        assert await holds_after(cluster) == ""

    play(scene, FIVE_IN_THREE_ZONES, 1)


def test_a_group_of_five_comes_back_to_all_four_zones():
    """Guards against LOST with more than one member to move, and against zones that stay uneven."""

    async def scene(cluster):
        await open_core(cluster, 2)
        for name in ("accord6", "accord7"):
            cluster.kill(name, power=True)
        await cluster.outside.sleep(6_000)
        for name in ("accord6", "accord7"):
            cluster.start(name)
        await cluster.outside.sleep(CATCH_UP_MS)
        assert all(set(zones) == {"zone-a", "zone-b", "zone-c", "zone-d"} for zones in member_zones(cluster).values())
        assert all(max(map(zones.count, zones)) == 2 for zones in member_zones(cluster).values())
        assert await until_full(cluster, 2, 100)

    play(scene, SEVEN_IN_FOUR_ZONES, 1)


@pytest.mark.parametrize("region", ["north", "south", "west"])
@pytest.mark.parametrize("restarted", [None, "accord3"])
def test_the_loss_of_a_regions_disks_loses_nothing_acknowledged(restarted, region):
    """Guards against LOST where a whole region may be lost: members in two zones of one region are no spread."""

    async def scene(cluster):
        await open_core(cluster)
        if restarted:
            await cluster.stop_softly(restarted)
            await cluster.outside.sleep(300)
            cluster.start(restarted)
        await cluster.outside.sleep(CATCH_UP_MS)
        await lose_disks(cluster, region)
        assert await holds_after(cluster) == ""

    play(scene, FOUR_IN_THREE_REGIONS, 1)


def test_a_group_that_is_spread_is_left_alone():
    """Guards against members that change places without end, each change costing two commits."""

    async def scene(cluster):
        await open_core(cluster)
        await cluster.outside.sleep(CATCH_UP_MS)
        before = steps(cluster)
        await cluster.outside.sleep(20_000)
        assert steps(cluster) == before

    play(scene, FIVE_IN_THREE_ZONES, 1)


@pytest.mark.parametrize(
    "members, spares, crowded",
    [
        ({"s1": "a", "s2": "a", "s3": "b"}, [], []),  # no spare
        ({"s1": "a", "s2": "a", "s3": "b"}, ["a", "b"], []),  # no spare in an emptier zone by two
        ({"s1": "a", "s2": "a", "s3": "b"}, ["c"], ["s2"]),  # the owner, s1, keeps its place
        ({"s2": "a", "s1": "b", "s3": "b"}, ["c"], ["s3"]),  # also where it stands in the crowded zone
        ({"s1": "a", "s2": "a", "s3": "a"}, ["b", "c"], ["s2", "s3"]),  # as many as there are places to win
        ({"s1": "a", "s2": "a", "s3": "a"}, ["b"], ["s2"]),
        ({"s1": "a", "s2": "a", "s3": "b", "s4": "b", "s5": "c"}, ["a", "b", "c"], []),  # as even as it can be
        ({"s1": "a", "s2": "a", "s3": "a", "s4": "b", "s5": "b"}, ["c", "c"], ["s2"]),  # 2, 2, 1
    ],
)
def test_members_move_only_where_a_zone_has_two_more_than_a_zone_with_a_spare(members, spares, crowded):
    assert choose_crowded(members, spares, staying="s1") == crowded
