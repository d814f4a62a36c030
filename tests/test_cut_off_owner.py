"""An owner without a majority's word neither refuses nor confirms; it asks its callers to come back.

The owner is cut off for twenty seconds. The others take a newer generation meanwhile. Proper orders that build on
it are sent to the cut-off owner: whatever it holds, it cannot judge them.
"""

import anyio
import httpx
import pytest

from finchswitch.simulation.deployments import CORE
from finchswitch.simulation.play import play
from finchswitch.simulation.scenes import mark_edit

UNCLEAR = {0, 503, 504}
CUT_MS = 20_000


def owner_of(cluster):
    running = [each for each in cluster.of_kind("accord") if each.group is not None]
    owning = [each for each in running if each.control.proposers["creed"].owns()]
    return max(owning, key=lambda each: each.control.proposers["creed"].ballot).name


async def ask(cluster, name, method, path, content=None):
    """One call to one control node; status 0 stands for no answer."""
    host = cluster.processes[name].host
    try:
        async with httpx.AsyncClient(transport=cluster.outside.http_transport(), timeout=6) as client:
            answer = await client.request(method, f"http://{host}:8000{path}", json=content)
        if answer.status_code in (503, 504):
            assert "retry-after" in answer.headers
        return answer.status_code
    except httpx.HTTPError:
        return 0


async def begin(cluster):
    """A founded core at revision 5; returns the owner and the others."""
    await cluster.insist({"configuration": {**cluster.deployment.configuration(), "settings": {"revision": 5}}})
    await cluster.outside.sleep(1_000)
    owner = owner_of(cluster)
    return owner, [each.name for each in cluster.of_kind("accord") if each.name != owner]


def cut_off(cluster, owner, others, how):
    for other in others:
        if how in ("both", "out", "restarted"):
            cluster.isolate(owner, [other], both=False)
        if how in ("both", "in", "restarted"):
            cluster.isolate(other, [owner], both=False)
    if how == "frozen":
        cluster.freeze(owner)


def revision_edits(revision):
    return [{"kind": "settings", "name": "revision", "value": revision}]


async def advance(cluster, others):
    """Have the majority side take generation 2 and generation 3 of revision 7; returns the orders that did it."""
    taken = []
    for order in (
        {"changeId": "n1", "base": 1, **mark_edit("mark-new")},
        {"changeId": "n2", "baseRevision": 5, "edits": revision_edits(7)},
    ):
        for _ in range(40):
            if await ask(cluster, others[len(taken)], "POST", "/v1/changes", order) in (200, 202):
                break
            await cluster.outside.sleep(200)
        else:
            raise AssertionError("the majority took nothing")
        taken.append(order)
    return taken


def orders_on_the_newest(taken):
    """Orders about which a node that lacks generation 3 would be wrong, each with the status that is right."""
    return [
        ({"changeId": "p1", "base": 3, **mark_edit("mark-p1")}, 200),
        ({"changeId": "p2", "baseRevision": 7, "edits": revision_edits(9)}, 200),
        ({"changeId": "p3", "base": 3, "edits": [{"kind": "services", "name": "mark-new", "value": None}]}, 200),
        *((order, 200) for order in taken),
        ({"changeId": "n1", "base": 1, **mark_edit("mark-other")}, 422),
        ({"changeId": "p4", "base": 1, **mark_edit("mark-p4")}, 409),
        ({"changeId": "p5", "baseRevision": 7, "edits": revision_edits(6)}, 422),
    ]


@pytest.mark.parametrize("how", ["both", "out", "in", "restarted", "frozen"])
def test_a_cut_off_owner_gives_no_answer_that_rests_on_what_it_holds(how):
    seen = {}

    async def scene(cluster):
        owner, others = await begin(cluster)
        from_ms = cluster.now_ms()
        cut_off(cluster, owner, others, how)
        taken = await advance(cluster, others)
        if how == "restarted":
            cluster.kill(owner)
            cluster.start(owner)
        while cluster.now_ms() < from_ms + CUT_MS - 7_000:
            for order, _ in orders_on_the_newest(taken):
                seen.setdefault(order["changeId"], []).append(await ask(cluster, owner, "POST", "/v1/changes", order))
            seen.setdefault("read", []).append(await ask(cluster, owner, "GET", "/v1/configuration?current=true"))
            seen.setdefault("forget", []).append(await ask(cluster, owner, "DELETE", "/v1/members/nobody"))
        assert {status for each in seen.values() for status in each} <= UNCLEAR, seen
        assert len(seen["read"]) >= 1

    play(scene, CORE, 3)


@pytest.mark.parametrize("how", ["both", "out", "in", "frozen"])
@pytest.mark.parametrize("seed", [1, 2])
def test_back_in_touch_it_catches_up_before_it_speaks(how, seed):
    """Sent from the moment of its return on, each order gets its right answer or no clear one."""
    seen = []

    async def scene(cluster):
        owner, others = await begin(cluster)
        from_ms = cluster.now_ms()
        cut_off(cluster, owner, others, how)
        taken = await advance(cluster, others)
        orders = [each for each in orders_on_the_newest(taken) if each[0]["changeId"] not in ("p2", "p3")]  # no races

        async def send(order, right):
            status = await ask(cluster, owner, "POST", "/v1/changes", order)
            seen.append((order["changeId"], right, status))

        async with anyio.create_task_group() as group:
            await cluster.outside.sleep(from_ms + CUT_MS - cluster.now_ms())
            for order, right in orders:
                group.start_soon(send, order, right)
            await cluster.outside.sleep(cluster.chance.uniform(0, 40))
            cluster.net.heal_all()
            cluster.thaw(owner)
        await cluster.outside.sleep(2_000)
        right = await ask(cluster, owner, "POST", "/v1/changes", {"changeId": "old", "base": 1, **mark_edit("mark-o")})
        assert right == 409

    play(scene, CORE, seed)
    for identity, right, status in seen:
        assert status in {right, *UNCLEAR}, (identity, seen)


def test_refusals_stand_where_a_majority_confirms_them():
    async def scene(cluster):
        owner, others = await begin(cluster)
        taken = await advance(cluster, others)
        for name in (owner, *others):
            stale = {"changeId": f"s-{name}", "base": 1, **mark_edit("mark-s")}
            assert await ask(cluster, name, "POST", "/v1/changes", stale) == 409
            other = {"changeId": "n1", "base": 1, **mark_edit("mark-other")}
            assert await ask(cluster, name, "POST", "/v1/changes", other) == 422
            missing = {"changeId": f"m-{name}", "base": 3, "edits": [{"kind": "services", "name": "x", "value": None}]}
            assert await ask(cluster, name, "POST", "/v1/changes", missing) == 422
            assert await ask(cluster, name, "POST", "/v1/changes", taken[0]) == 200
            assert await ask(cluster, name, "DELETE", "/v1/members/nobody") == 404

    play(scene, CORE, 5)
