"""A founding that is interrupted anywhere is finished, exactly once, also when told not to found any more."""

from dataclasses import replace

import pytest

from finchswitch.bounds import Bounds
from finchswitch.simulation.deployments import CORE
from finchswitch.simulation.disk import SimDisk
from finchswitch.simulation.play import play
from finchswitch.simulation.scenes import mark_edit

NAMES = ["accord1", "accord2", "accord3"]
FIRST_WRITES = 6  # disk calls until each of three stores has its first file; with less there is nothing to finish
LAST_CALL = 80
WAIT = SimDisk._wait


def told(cluster, founds):
    """From now on processes start with these bounds, as the platform tells them."""
    startup = type(cluster)._startup
    cluster._startup = lambda process: replace(startup(cluster, process), bounds=Bounds(founds=founds))


def kill_all(cluster):
    for process in cluster.of_kind("accord"):
        if process.group is not None:
            cluster.kill(process.name, power=True)


def fleets(cluster):
    return {process.control.store.fleet for process in cluster.of_kind("accord") if process.group is not None}


async def found_once(cluster):
    """Whether all are of one fleet within a time, and it takes a change."""
    await cluster.outside.sleep(500)  # all that were started run by now
    until_ms = cluster.now_ms() + 15_000
    while cluster.now_ms() < until_ms and (len(fleets(cluster)) > 1 or "" in fleets(cluster)):
        await cluster.outside.sleep(100)
    change = await cluster.insist({"configuration": cluster.deployment.configuration()})
    return len(fleets(cluster)) == 1 and "" not in fleets(cluster) and change.status == 200


def interrupt_at(monkeypatch, cluster, step):
    """All power is lost at this disk call of all stores together; returns what tells whether it was."""
    calls, wait, fallen = iter(range(1, 10_000)), WAIT, []

    def counted(disk):
        if next(calls) == step:
            kill_all(cluster)
            fallen.append(step)
            for each in cluster.disks.values():
                each.failing = True  # whatever still runs in this instant writes nothing any more
            monkeypatch.setattr(SimDisk, "_wait", wait)
        wait(disk)

    monkeypatch.setattr(SimDisk, "_wait", counted)
    return fallen


async def stopped(cluster, fallen):
    until_ms = cluster.now_ms() + 3_000
    while not fallen and cluster.now_ms() < until_ms:
        await cluster.outside.sleep(10)
    await cluster.outside.sleep(500)
    return bool(fallen)


@pytest.mark.parametrize("wipes", [False, True])
@pytest.mark.parametrize("part", range(6))
def test_power_lost_at_each_disk_call_of_a_founding(monkeypatch, part, wipes):
    """Then all start again, in another order each time, 0.3 s apart at most, one of them with an empty disk."""
    lasting = []
    for step in range(FIRST_WRITES + 1 + part, LAST_CALL, 6):
        wiped = NAMES[step // 3 % 3] if wipes else None

        async def scene(cluster, step=step, wiped=wiped):
            fallen = interrupt_at(monkeypatch, cluster, step)
            if not await stopped(cluster, fallen):
                lasting.append(step)
            kill_all(cluster)
            for each in cluster.disks.values():
                each.failing = False
            if wiped:
                cluster.disks[wiped].wipe()
            told(cluster, founds=False)
            order = NAMES[step % 3 :] + NAMES[: step % 3]
            for name in order if step % 2 else reversed(order):
                cluster.start(name)
                await cluster.outside.sleep(cluster.chance.choice([0, 10, 150, 300]))
            assert await found_once(cluster), (step, wiped, fleets(cluster))

        play(scene, CORE, step)
        monkeypatch.setattr(SimDisk, "_wait", WAIT)
    assert len(lasting) < 3, "the founding has fewer calls than are tried here"


def test_wiped_stores_alone_found_nothing():
    async def scene(cluster):
        assert await found_once(cluster), fleets(cluster)
        kill_all(cluster)
        told(cluster, founds=False)
        for name in NAMES:
            cluster.disks[name].wipe()
            cluster.start(name)
        await cluster.outside.sleep(20_000)
        assert fleets(cluster) == {""}

    play(scene, CORE, 1)


@pytest.mark.parametrize("late", NAMES)
def test_a_seed_that_is_down_at_first_is_waited_for_where_all_are_needed(late):
    async def scene(cluster):
        cluster.kill(late, power=True)
        await cluster.outside.sleep(5_000)
        assert fleets(cluster) == {""}
        cluster.start(late)
        assert await found_once(cluster), fleets(cluster)

    play(scene, CORE, 2)


@pytest.mark.parametrize("seed", range(1, 5))
def test_two_halves_that_hear_nothing_of_each_other_never_found_two_fleets(seed):
    six = replace(CORE, cores=6)

    async def scene(cluster):
        names = [process.name for process in cluster.of_kind("accord")]
        cluster.chance.shuffle(names)
        for one in names[:3]:
            cluster.isolate(one, names[3:])
        await cluster.outside.sleep(8_000)
        assert len(fleets(cluster) - {""}) <= 1
        cluster.net.heal_all()
        assert await found_once(cluster), fleets(cluster)
        assert (await cluster.insist(mark_edit("mark-1"), "mark-1")).status == 200

    play(scene, six, seed)


@pytest.mark.parametrize("slow", NAMES)
def test_a_founder_with_a_slow_disk_founds_with_the_others(slow):
    async def scene(cluster):
        await cluster.outside.sleep(5)
        cluster.disks[slow].slow_ms = 30
        assert await found_once(cluster), fleets(cluster)

    play(scene, CORE, 3)
