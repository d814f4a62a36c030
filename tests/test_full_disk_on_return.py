"""A control node that came back with an empty and full disk takes its place as soon as there is room."""

import pytest

from finchswitch.control.store import StoreState
from finchswitch.simulation.core_losses import holds_after, open_core
from finchswitch.simulation.deployments import CORE
from finchswitch.simulation.play import play

FULL_MS = 2_000
FIRST_FILE_MS = 5  # the new store's first file is written by then, and no other control node was heard yet


@pytest.mark.parametrize("seed", range(1, 4))
def test_a_store_that_could_not_write_its_fleet_joins_once_there_is_room(seed):
    seen = {}

    async def scene(cluster):
        _, others = await open_core(cluster)
        lost = others[0]
        cluster.kill(lost, power=True)
        cluster.disks.pop(lost)
        await cluster.outside.sleep(500)
        cluster.start(lost)
        await cluster.outside.sleep(FIRST_FILE_MS)
        cluster.disks[lost].full = True
        await cluster.outside.sleep(FULL_MS)
        cluster.disks[lost].full = False
        seen["wrong"] = await holds_after(cluster)
        store = cluster.processes[lost].control.store
        seen["state"], seen["fleet"] = store.state, store.fleet
        seen["kept"] = store._versions.newest()["fleet"]

    play(scene, CORE, seed)
    assert seen["wrong"] == ""
    assert seen["state"] is StoreState.VOTING
    assert seen["kept"] == seen["fleet"] != ""
