"""A storm of orders sent twice: two operators with one number, and the same order to any node, while owners fall."""

from typing import Any

import anyio
import httpx

from finchswitch.simulation.cluster import Cluster
from finchswitch.simulation.history import Change
from finchswitch.simulation.scenes import accords, expect
from finchswitch.simulation.storms import STORMS, close_storm

__all__ = ["one_number_one_winner"]

_ROUNDS = 6
_SENDINGS = 4  # of each order; with two operators eight are under way
_CLEAR_REFUSALS = (400, 409, 413, 422)
_ACKNOWLEDGED = (200, 202)


async def _send(cluster: Cluster, order: dict[str, Any], base: int, answers: list[int]) -> None:
    """Send an order on a generation to any node; one answer in four is lost on its way."""
    host = cluster.processes[cluster.chance.choice(accords(cluster))].host
    change = Change(order["changeId"], base, cluster.now_ms(), content={"edits": order["edits"]})
    cluster.history.changes.append(change)
    lost = cluster.chance.random() < 0.25
    try:
        async with httpx.AsyncClient(transport=cluster.outside.http_transport(), timeout=4) as client:
            response = await client.post(f"http://{host}:8000/v1/changes", json=order)
        if not lost:
            change.status, change.generation = response.status_code, response.json().get("generation", -1)
    except httpx.HTTPError:
        pass
    change.answered_ms = cluster.now_ms()
    answers.append(change.status)


async def _insist(cluster: Cluster, order: dict[str, Any], base: int, answers: list[int]) -> None:
    """Send an order at once to several nodes, then again and again until an answer is clear."""
    async with anyio.create_task_group() as group:
        for _ in range(_SENDINGS):
            group.start_soon(_send, cluster, order, base, answers)
            await cluster.outside.sleep(cluster.chance.uniform(0, 30))
    for _ in range(40):
        if set(answers) & {*_CLEAR_REFUSALS, *_ACKNOWLEDGED}:
            return
        await cluster.outside.sleep(200)
        await _send(cluster, order, base, answers)


def _order(number: int, base: int, who: int) -> dict[str, Any]:
    edits = [
        {"kind": "settings", "name": "revision", "value": number},
        {"kind": "services", "name": f"mark-{number}-{who}", "value": {"dueMs": 5_000}},
    ]
    return {"changeId": f"order-{number}-{who}", "baseRevision": base, "edits": edits}


async def _fault(cluster: Cluster) -> None:
    """The owner is killed, frozen or cut off a moment after the orders were sent, and comes back later."""
    controls = {name: cluster.processes[name].control for name in accords(cluster)}
    owning = [name for name, control in controls.items() if control and control.proposers["creed"].owns()]
    if not owning:
        return
    owner, kind = cluster.chance.choice(owning), cluster.chance.choice(["kill", "power", "freeze", "cut", "none"])
    await cluster.outside.sleep(cluster.chance.uniform(0, 60))
    if kind in ("kill", "power"):
        cluster.kill(owner, power=kind == "power")
    elif kind == "freeze":
        cluster.freeze(owner)
    elif kind == "cut":
        others = [name for name in accords(cluster) if name != owner]
        cluster.isolate(owner, others, both=cluster.chance.random() < 0.5)
    await cluster.outside.sleep(cluster.chance.uniform(500, 3_000))
    cluster.net.heal_all()
    cluster.thaw(owner)
    if cluster.processes[owner].group is None:
        cluster.start(owner)


async def one_number_one_winner(cluster: Cluster) -> None:
    """Two operators send different orders under one number, each to several nodes at once, as the owner falls."""
    await cluster.insist({"configuration": cluster.deployment.configuration()})
    base = 0
    for at in range(_ROUNDS):
        number = base + 1 + at % 3
        orders = [_order(number, base, who) for who in range(2)]
        answers: list[list[int]] = [[], []]
        async with anyio.create_task_group() as group:
            for order, heard in zip(orders, answers, strict=True):
                group.start_soon(_insist, cluster, order, 1 + at, heard)
            group.start_soon(_fault, cluster)
        winners = [who for who, heard in enumerate(answers) if set(heard) & {*_ACKNOWLEDGED}]
        expect(cluster, len(winners) == 1, f"one winner of number {number}: {answers}")
        for who in winners:
            refused = set(answers[who]) & {*_CLEAR_REFUSALS}
            expect(cluster, not refused, f"the winner of number {number} is never refused: {answers}")
            later: list[int] = []
            for _ in range(3):
                await _send(cluster, orders[who], 1 + at, later)
            expect(cluster, not set(later) & {*_CLEAR_REFUSALS}, f"sent again it is never refused: {later}")
        base = number
    await close_storm(cluster)


STORMS["one-number-one-winner"] = one_number_one_winner
