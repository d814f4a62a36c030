"""An owner whose ballot a failed candidate outvoted gives up its claim, also where no order comes.

The candidate got a majority's promises and then could not have anything accepted, as with a disk too slow for a yes.
The owner's next commit would fail; without a commit nothing but the promises themselves tells it.
"""

import anyio
import httpx
import pytest

from finchswitch.simulation.deployments import CORE
from finchswitch.simulation.play import play

RECOVERED_MS = 6_000
LOOK_MS = 100


def owner_of(cluster):
    return next(each for each in cluster.of_kind("accord") if each.control.proposers["creed"].owns())


async def read_status(cluster, process):
    """The status of one read of the configuration at one control node; 0 without an answer."""
    try:
        async with httpx.AsyncClient(transport=cluster.outside.http_transport(), timeout=2) as client:
            return (await client.get(f"http://{process.host}:8000/v1/configuration?current=true")).status_code
    except httpx.HTTPError:
        return 0


@pytest.mark.parametrize("seed", range(1, 4))
def test_a_majority_of_later_promises_ends_a_claim_without_any_order(seed):
    outcome = {}

    async def scene(cluster):
        await cluster.insist({"configuration": {**cluster.deployment.configuration(), "settings": {"revision": 5}}})
        await cluster.outside.sleep(1_000)
        owner = owner_of(cluster)
        others = [each for each in cluster.of_kind("accord") if each is not owner]
        number, _ = owner.control.proposers["creed"].ballot
        candidate = (number + 1, others[0].control.store.store)
        for each in others:
            assert each.control.store.acceptors["creed"].prepare(candidate)["yes"]
        until = anyio.current_time() + RECOVERED_MS / 1000
        while anyio.current_time() < until:
            await cluster.outside.sleep(LOOK_MS)
            outcome["statuses"] = [await read_status(cluster, each) for each in cluster.of_kind("accord")]
            if outcome["statuses"] == [200] * len(outcome["statuses"]):
                return

    play(scene, CORE, seed)
    assert outcome["statuses"] == [200, 200, 200]
