"""An owner killed at each step of a commit: whatever becomes of the change, it is one thing, and asking again tells."""

import pytest

from finchswitch.simulation.deployments import CORE
from finchswitch.simulation.disk import SimDisk
from finchswitch.simulation.play import play
from finchswitch.simulation.scenes import mark_edit


@pytest.mark.parametrize("power", [False, True])
@pytest.mark.parametrize("step", range(1, 10))
def test_an_owner_killed_at_this_step(monkeypatch, step, power):
    """Steps are the disk calls of all stores from the change on: written, folder synced, three times."""
    seen = {}

    async def scene(cluster):
        await cluster.insist({"configuration": cluster.deployment.configuration()})
        await cluster.outside.sleep(1_000)
        owner = next(a.name for a in cluster.of_kind("accord") if a.control.proposers["creed"].owns())
        steps, wait = iter(range(1, 1_000)), SimDisk._wait

        def counted(disk):
            if next(steps) == step:
                cluster.kill(owner, power)
            wait(disk)

        monkeypatch.setattr(SimDisk, "_wait", counted)
        first = await cluster.change(1, mark_edit("mark-a"), "mark-a", at=owner)
        monkeypatch.setattr(SimDisk, "_wait", wait)
        other = await cluster.insist(mark_edit("mark-b"), "mark-b")
        again = first
        while again.status not in (200, 202, 409):
            again = await cluster.change(1, mark_edit("mark-a"), "mark-a", change_id=first.change_id, again=True)
        if cluster.processes[owner].group is None:
            cluster.start(owner)
        await cluster.outside.sleep(3_000)
        bodies = [process.control.news.body("creed")["services"] for process in cluster.of_kind("accord")]
        assert bodies[0] == bodies[1] == bodies[2]
        assert other.status == 200 and "mark-b" in bodies[0]
        assert ("mark-a" in bodies[0]) is (again.status in (200, 202))
        seen["status"] = (first.status, again.status)

    play(scene, CORE, step)
    assert seen
