"""A planned stop of a control node: ownership and, where a spare is there, votes go to others first."""

import pytest

from finchswitch.bounds import Bounds
from finchswitch.control.document import part_names
from finchswitch.simulation.core_losses import change_until, holds_after, open_core, until_full
from finchswitch.simulation.deployments import Deployment
from finchswitch.simulation.play import play
from finchswitch.simulation.scenes import mark_edit
from finchswitch.simulation.tolerance import replace_machine

BOUNDS = Bounds(replace_after_ms=1_400.0, grace_ms=7_200.0)
CORE = Deployment("core", [], 3, 1, 1, [], bounds=BOUNDS)


def groups(cluster):
    """What the owners that run say of their parts' groups."""
    nodes = [a.control for a in cluster.of_kind("accord") if a.group is not None]
    owned = [(part, node.proposers[part]) for node in nodes for part in part_names() if node.proposers[part].owns()]
    return {part: (proposer.document["group"], proposer.document["former"]) for part, proposer in owned}


@pytest.mark.parametrize("leaves", ["owner", "other"])
def test_a_member_with_a_successor_gives_away_its_parts_and_votes_within_its_grace(leaves):
    async def scene(cluster):
        owner, (other, _) = await open_core(cluster)
        leaving = owner if leaves == "owner" else other
        store = cluster.processes[leaving].control.store.store
        spare = replace_machine(cluster, leaving, "core")
        cluster.start(spare)
        await cluster.outside.sleep(800)
        began_ms = cluster.now_ms()
        await cluster.stop_softly(leaving)
        assert cluster.now_ms() - began_ms < BOUNDS.grace_ms
        assert groups(cluster).keys() == set(part_names())
        assert not any(store in [*group, *former] for group, former in groups(cluster).values())
        assert await until_full(cluster, most_ms=100)
        assert await holds_after(cluster) == ""

    play(scene, CORE, 1)


def test_a_member_that_only_restarts_keeps_its_votes_and_leaves_no_part_without_an_owner():
    async def scene(cluster):
        owner, _ = await open_core(cluster)
        store, before = cluster.processes[owner].control.store.store, groups(cluster)
        began_ms = cluster.now_ms()
        await cluster.stop_softly(owner)
        assert cluster.now_ms() - began_ms < 1_000
        assert groups(cluster) == before and all(store in group for group, _ in before.values())
        assert await change_until(cluster, "mark-while", 2_500)
        cluster.start(owner)
        assert await holds_after(cluster) == ""
        assert cluster.processes[owner].control.store.store == store

    play(scene, CORE, 1)


def test_the_only_copy_does_not_leave_with_its_member():
    """One member alone, as with a tolerance of zero: its successor has it all before it ends."""
    alone = Deployment("core", [], 1, 1, 1, [], bounds=Bounds(tolerance=0, grace_ms=7_200.0))

    async def scene(cluster):
        await cluster.insist({"configuration": cluster.deployment.configuration()})
        await cluster.insist(mark_edit("mark-before"), "mark-before")
        spare = replace_machine(cluster, "accord1", "core")
        cluster.start(spare)
        await cluster.outside.sleep(800)
        await cluster.stop_softly("accord1")
        cluster.disks.pop("accord1")
        assert await until_full(cluster, 0, 2_000)
        assert await change_until(cluster, "mark-after")
        assert "mark-before" in cluster.processes[spare].control.news.body("creed")["services"]

    play(scene, alone, 1)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_two_that_leave_one_after_the_other_while_changes_come(seed):
    async def scene(cluster):
        owner, (other, _) = await open_core(cluster)
        for leaving in (owner, other):
            cluster.start(replace_machine(cluster, leaving, "core"))
            await cluster.outside.sleep(800)
            cluster._group.start_soon(cluster.stop_softly, leaving)
            for at in range(4):
                mark = f"mark-{leaving}-{at}"
                assert await change_until(cluster, mark)
            assert await until_full(cluster, most_ms=4_000)
        assert await holds_after(cluster) == ""

    play(scene, CORE, seed)
