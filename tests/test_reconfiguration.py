"""A group's change under losses: a crash at each step, several members gone at once, and who takes a place."""

import pytest

from finchswitch.bounds import Bounds
from finchswitch.control.document import part_names
from finchswitch.control.placement import choose_spare
from finchswitch.membership.control_peers import ControlPeer
from finchswitch.simulation.core_losses import change_until, holds_after, open_core, until_full
from finchswitch.simulation.deployments import Deployment
from finchswitch.simulation.disk import SimDisk
from finchswitch.simulation.play import play
from finchswitch.simulation.tolerance import replace_machine

BOUNDS = Bounds(replace_after_ms=1_400.0, grace_ms=7_200.0)
CORE = Deployment("core", [], 3, 1, 1, [], bounds=BOUNDS)
CORE_OF_FIVE = Deployment("core", [], 5, 1, 1, [], bounds=Bounds(tolerance=2, replace_after_ms=1_400.0))


def crash_at(monkeypatch, cluster, name, step):
    """The machine loses power before the disk call of any store that has this number, and is back soon after."""
    steps, wait = iter(range(1, 100_000)), SimDisk._wait

    async def back():
        await cluster.outside.sleep(400)
        cluster.start(name)

    def counted(disk):
        if next(steps) == step and cluster.processes[name].group is not None:
            cluster.kill(name, power=True)
            cluster._group.start_soon(back)
        wait(disk)

    monkeypatch.setattr(SimDisk, "_wait", counted)
    return wait


@pytest.mark.parametrize("role", ["owner", "spare", "other"])
@pytest.mark.parametrize("step", range(2, 80, 6))
def test_a_crash_at_this_disk_step_of_a_replacement(monkeypatch, role, step):
    async def scene(cluster):
        owner, (lost, other) = await open_core(cluster)
        spare = replace_machine(cluster, lost, "core")
        cluster.kill(lost, power=True)
        await cluster.outside.sleep(1_500)
        wait = crash_at(monkeypatch, cluster, {"owner": owner, "spare": spare, "other": other}[role], step)
        cluster.start(spare)
        await cluster.outside.sleep(3_000)
        monkeypatch.setattr(SimDisk, "_wait", wait)
        assert await holds_after(cluster) == ""

    play(scene, CORE, step)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_wiped_a_replaced_and_a_leaving_member_at_once(seed):
    async def scene(cluster):
        owner, others = await open_core(cluster, 2)
        wiped, replaced, leaving = cluster.chance.sample([owner, *others], 3)
        planned, successor = (replace_machine(cluster, name, "core") for name in (leaving, replaced))
        cluster.start(planned)
        await cluster.outside.sleep(800)
        for name in (wiped, replaced):
            cluster.kill(name, power=True)
            cluster.disks.pop(name)
        cluster._group.start_soon(cluster.stop_softly, leaving)
        await cluster.outside.sleep(1_000)
        for name in (wiped, successor):
            cluster.start(name)
        assert await until_full(cluster, 2, 4_000)
        await cluster.outside.sleep(4_000)
        assert cluster.processes[leaving].group is None
        assert await holds_after(cluster, 2) == ""

    play(scene, CORE_OF_FIVE, seed)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_loss_right_after_a_replacement_leaves_a_majority(seed):
    """The newcomer votes by then: with any other member lost it still makes a majority."""

    async def scene(cluster):
        owner, (lost, other) = await open_core(cluster)
        spare = replace_machine(cluster, lost, "core")
        cluster.kill(lost, power=True)
        await cluster.outside.sleep(1_500)
        cluster.start(spare)
        assert await until_full(cluster, most_ms=4_000)
        cluster.kill(cluster.chance.choice([owner, other]), power=True)
        assert await change_until(cluster, "mark-second")

    play(scene, CORE, seed)


def test_the_former_group_is_not_dropped_before_the_newcomer_knows_of_its_vote():
    """A newcomer that the change did not reach would refuse to vote, and the next loss would stop the part."""

    async def scene(cluster):
        owner, (lost, other) = await open_core(cluster)
        spare = replace_machine(cluster, lost, "core")
        cluster.start(spare)
        await cluster.outside.sleep(800)
        cluster.disks[spare].full = True
        cluster.kill(lost, power=True)
        await cluster.outside.sleep(2_000)
        documents = [cluster.processes[owner].control.store.acceptors[part].document for part in part_names()]
        newcomer = cluster.processes[spare].control.store
        for document in documents:
            assert newcomer.store not in document["group"] or document["group"] != document["former"]
        cluster.disks[spare].full = False
        assert await holds_after(cluster) == ""

    play(scene, CORE, 1)


def peer(store, zone, generation):
    names = ("name", "address", "http", "fleet")
    empty = {"founders": [], "sees": [], "owns": {}, "promised": {}, "sessions": []}
    generations = {"creed": generation}
    return ControlPeer(
        store=store, **dict.fromkeys(names, store), **empty, generations=generations, failure_domain=zone
    )


@pytest.mark.parametrize(
    "lost, remaining, spares, chosen",
    [
        ("b", ["a", "c"], [("s1", "a", 9), ("s2", "b", 1)], "s2"),  # the lost member's zone, though less fresh
        ("b", ["a", "c"], [("s1", "a", 9), ("s2", "d", 1)], "s2"),  # a zone with no member before one that has one
        ("b", ["a", "c"], [("s1", "d", 9), ("s2", "b", 1)], "s2"),  # both spread the same: the lost member's zone
        ("b", ["a", "c"], [("s1", "b", 3), ("s2", "b", 7)], "s2"),  # the same zone: the freshest
        ("", ["a", "c"], [("s1", "a", 3), ("s2", "d", 3)], "s2"),  # the lost member's zone is not known any more
    ],
)
def test_a_spare_is_chosen_by_zone_then_by_what_it_holds(lost, remaining, spares, chosen):
    assert choose_spare("creed", lost, remaining, [peer(*spare) for spare in spares]).store == chosen
