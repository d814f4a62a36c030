"""A torn newest file must not vote from an older one: with the guard, nothing acknowledged is lost; without, it is."""

import pytest

from finchswitch.mishap import Mishap
from finchswitch.rehearsal.deployments import CORE
from finchswitch.rehearsal.play import play
from finchswitch.rehearsal.scenes import mark_edit
from finchswitch.shelf import Shelf


def kept_after_a_tear(seed):
    """Whether a change that two stores held outlives the tear of one of them, the third having been away."""
    kept = []

    async def scene(theatre):
        await theatre.insist({"configuration": theatre.deployment.creed()})
        theatre.kill("accord3", power=True)
        change = await theatre.insist(mark_edit("mark-a"), "mark-a")
        assert change.status == 200
        for name in ("accord1", "accord2"):
            theatre.kill(name, power=True)
        theatre.disks["accord1"].tear_newest("creed")
        for name in ("accord1", "accord3"):
            theatre.start(name)
        await theatre.outside.sleep(3_000)
        await theatre.change(1, mark_edit("mark-b"), "mark-b")
        theatre.start("accord2")
        await theatre.outside.sleep(3_000)
        await theatre.insist(mark_edit("mark-c"), "mark-c")
        kept.append("mark-a" in theatre.actors["accord3"].council.news.body("creed").get("services", {}))

    play(scene, CORE, seed)
    return kept == [True]


@pytest.mark.parametrize("seed", range(1, 5))
def test_nothing_acknowledged_is_lost_to_a_torn_file(seed):
    assert kept_after_a_tear(seed)


def test_voting_from_the_older_file_would_lose_it(monkeypatch):
    newest = Shelf.newest

    def trusting(shelf):
        try:
            return newest(shelf)
        except Mishap:
            name = max(shelf._disk.names(shelf._folder))
            shelf._disk.remove(shelf._folder, name)
            return newest(shelf)

    monkeypatch.setattr(Shelf, "newest", trusting)
    assert not all(kept_after_a_tear(seed) for seed in range(1, 5))
