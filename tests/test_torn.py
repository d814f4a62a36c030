"""A torn newest file must not vote from an older one: with the guard, nothing acknowledged is lost; without, it is."""

import pytest

from finchswitch.errors import FleetError
from finchswitch.simulation.deployments import CORE
from finchswitch.simulation.play import play
from finchswitch.simulation.scenes import mark_edit
from finchswitch.storage import VersionedFile


def kept_after_a_tear(seed):
    """Whether a change that two stores held outlives the tear of one of them, the third having been away."""
    kept = []

    async def scene(cluster):
        await cluster.insist({"configuration": cluster.deployment.configuration()})
        cluster.kill("accord3", power=True)
        change = await cluster.insist(mark_edit("mark-a"), "mark-a")
        assert change.status == 200
        for name in ("accord1", "accord2"):
            cluster.kill(name, power=True)
        cluster.disks["accord1"].tear_newest("creed")
        for name in ("accord1", "accord3"):
            cluster.start(name)
        await cluster.outside.sleep(3_000)
        await cluster.change(1, mark_edit("mark-b"), "mark-b")
        cluster.start("accord2")
        await cluster.outside.sleep(3_000)
        await cluster.insist(mark_edit("mark-c"), "mark-c")
        kept.append("mark-a" in cluster.processes["accord3"].control.news.body("creed").get("services", {}))

    play(scene, CORE, seed)
    return kept == [True]


@pytest.mark.parametrize("seed", range(1, 5))
def test_nothing_acknowledged_is_lost_to_a_torn_file(seed):
    assert kept_after_a_tear(seed)


def test_voting_from_the_older_file_would_lose_it(monkeypatch):
    newest = VersionedFile.newest

    def trusting(versions):
        try:
            return newest(versions)
        except FleetError:
            name = max(versions._disk.names(versions._folder))
            versions._disk.remove(versions._folder, name)
            return newest(versions)

    monkeypatch.setattr(VersionedFile, "newest", trusting)
    assert not all(kept_after_a_tear(seed) for seed in range(1, 5))
