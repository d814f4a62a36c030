"""As many disks as are tolerated are lost right after an acknowledgement, and all other machines lose power then.

Routing nodes go too, so what stands is only on the disks that are left. Before it a control machine is replaced, so
that the seeds of the start name one that is gone.
"""

import dataclasses

import pytest

from finchswitch.bounds import Bounds
from finchswitch.constants import PEERS_MOST
from finchswitch.simulation.core_losses import until_full
from finchswitch.simulation.deployments import VILLAGE
from finchswitch.simulation.play import play
from finchswitch.simulation.scenes import mark_edit
from finchswitch.simulation.tolerance import replace_machine

BACK_MS = 12_000.0  # how long service may stay away
DOWN_MS = 1_300.0


def deployment(tolerance):
    bounds = Bounds(
        tolerance=tolerance, replace_after_ms=1_400, serves_alone=True, list_shared=True, peers_most=PEERS_MOST
    )
    return dataclasses.replace(VILLAGE, cores=2 * tolerance + 1, bounds=bounds)


async def replace_one(cluster, name):
    """The machine is gone for good; another with an empty disk joins at a new address."""
    successor = replace_machine(cluster, name, cluster.processes[name].district)
    cluster.kill(name, power=True)
    del cluster.processes[name], cluster.disks[name]
    await cluster.outside.sleep(DOWN_MS)
    cluster.start(successor)


async def lose_everything(cluster, wiped):
    names = [each.name for each in [*cluster.of_kind("accord"), *cluster.of_kind("transit")]]
    for name in names:
        cluster.kill(name, power=True)
    for name in wiped:
        cluster.disks.pop(name)
    await cluster.outside.sleep(DOWN_MS)
    for name in cluster.chance.sample(names, len(names)):
        cluster.start(name)
        await cluster.outside.sleep(cluster.chance.uniform(0, 300))


@pytest.mark.parametrize("tolerance", (1, 2))
@pytest.mark.parametrize("seed", range(1, 4))
def test_service_and_all_that_was_acknowledged_come_back(tolerance, seed):
    seen = {}

    async def scene(cluster):
        await cluster.insist({"configuration": cluster.deployment.configuration()})
        assert await cluster.settle()
        await until_full(cluster, tolerance)
        await replace_one(cluster, cluster.chance.choice(cluster.control_nodes()))
        assert await until_full(cluster, tolerance)
        last = await cluster.insist(mark_edit("mark-last"), "mark-last")
        await lose_everything(cluster, cluster.chance.sample(cluster.control_nodes(), tolerance))
        seen["back"] = await cluster.settle(BACK_MS)
        read = await cluster.read_confirmed()
        seen["generations"] = (last.generation, read.generation)

    play(scene, deployment(tolerance), seed)
    assert seen["back"]
    assert seen["generations"][1] >= seen["generations"][0] > 0
