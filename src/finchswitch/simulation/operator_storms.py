"""Many operators on the control nodes alone, under one kind of fault at a time.

Pairs of operators build on one number through different nodes. Orders are sent again: at once, later, after others,
and up to eight times while the first sending is under way. Confirmed reads go on in between. What everyone was told
is judged as the history of a compare-and-set register.
"""

from collections.abc import Awaitable, Callable

import anyio

from finchswitch.constants import (
    CONFIGURATION_PART,
    OPERATORS_CUT_MS,
    OPERATORS_LATE_ORDERS,
    OPERATORS_STORM_MS,
)
from finchswitch.simulation.cluster import Cluster
from finchswitch.simulation.operators import Operators
from finchswitch.simulation.scenes import Scene, expect
from finchswitch.simulation.storms import close_storm

__all__ = ["OPERATOR_STORMS"]

OPERATOR_HOST = "10.0.0.1"


Fault = Callable[[Cluster, Operators], Awaitable[None]]


async def _storm(cluster: Cluster, fault: Fault) -> None:
    await cluster.insist({"configuration": cluster.deployment.configuration()})
    operators = Operators(cluster, cluster.now_ms() + OPERATORS_STORM_MS)
    async with anyio.create_task_group() as group:
        group.start_soon(operators.operate)
        await fault(cluster, operators)
    await close_storm(cluster)


def _owner(cluster: Cluster) -> str:
    """The node that owns the configuration, or any if none does."""
    names = cluster.control_nodes()
    for name in names:
        process = cluster.processes[name]
        if process.group is not None and process.control is not None:
            if process.control.proposers[CONFIGURATION_PART].owns():
                return name
    return cluster.chance.choice(names)


def _others(cluster: Cluster, name: str) -> list[str]:
    return [other for other in cluster.control_nodes() if other != name]


async def operators_steady(cluster: Cluster) -> None:
    """Nothing fails."""

    async def nothing(_: Cluster, operators: Operators) -> None:
        await operators.pause(10, 20)

    await _storm(cluster, nothing)


async def operators_falls(cluster: Cluster) -> None:
    """The owner falls again and again, with its power or without."""
    await _storm(cluster, _fall)


async def _fall(cluster: Cluster, operators: Operators) -> None:
    while operators.running():
        await operators.pause(300, 2_500)
        name = _owner(cluster)
        cluster.kill(name, power=cluster.chance.random() < 0.5)
        await operators.pause(100, 3_000)
        cluster.start(name)


async def operators_cut(cluster: Cluster) -> None:
    """The owner is cut off from the other control nodes for twenty seconds, both ways; operators still reach it."""

    async def cut(cluster: Cluster, operators: Operators) -> None:
        await operators.pause(1_000, 3_000)
        name = _owner(cluster)
        cluster.isolate(name, _others(cluster, name))
        await operators.stay(name, cluster.now_ms() + OPERATORS_CUT_MS)
        cluster.net.heal_all()

    await _storm(cluster, cut)


async def operators_cut_one_way(cluster: Cluster) -> None:
    """For twenty seconds the owner is not heard by the other control nodes, or does not hear them."""

    async def cut(cluster: Cluster, operators: Operators) -> None:
        await operators.pause(1_000, 3_000)
        name = _owner(cluster)
        deaf = cluster.chance.random() < 0.5
        for other in _others(cluster, name):
            cluster.isolate(*((other, [name]) if deaf else (name, [other])), both=False)
        await operators.stay(name, cluster.now_ms() + OPERATORS_CUT_MS)
        cluster.net.heal_all()

    await _storm(cluster, cut)


async def operators_freezes(cluster: Cluster) -> None:
    """The owner, or another node, is frozen for up to eight seconds and wakes."""

    async def freeze(cluster: Cluster, operators: Operators) -> None:
        while operators.running():
            await operators.pause(300, 2_000)
            name = _owner(cluster) if cluster.chance.random() < 0.7 else operators.nodes(1)[0]
            cluster.freeze(name)
            await operators.pause(200, 8_000)
            cluster.thaw(name)

    await _storm(cluster, freeze)


async def operators_wipes(cluster: Cluster) -> None:
    """The owner's machine is lost for good and comes back empty at a new address; later another one's."""

    async def wipe(cluster: Cluster, operators: Operators) -> None:
        for at in range(2):
            await operators.pause(1_000, 2_500)
            name = _owner(cluster)
            cluster.kill(name, power=True)
            cluster.disks.pop(name).wipe()
            await operators.pause(100, 2_000)
            cluster.processes[name].host = f"10.0.9.{11 + at}"
            cluster.start(name)
            await cluster.outside.sleep(9_000)

    await _storm(cluster, wipe)


async def operators_lost_answers(cluster: Cluster) -> None:
    """What one or two control nodes answer to operators is lost for seconds; what operators send still arrives."""
    await _storm(cluster, _lose_answers)


async def _lose_answers(cluster: Cluster, operators: Operators) -> None:
    while operators.running():
        await operators.pause(200, 1_500)
        names = {_owner(cluster), operators.nodes(1)[0]}
        hosts = [cluster.processes[name].host for name in sorted(names)]
        for host in hosts:
            cluster.net.cut(host, OPERATOR_HOST)
        await operators.pause(500, 9_000)
        for host in hosts:
            cluster.net.heal(host, OPERATOR_HOST)


async def operators_falls_and_lost_answers(cluster: Cluster) -> None:
    """The owner falls while answers are lost."""

    async def both(cluster: Cluster, operators: Operators) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(_fall, cluster, operators)
            group.start_soon(_lose_answers, cluster, operators)

    await _storm(cluster, both)


async def operators_late(cluster: Cluster) -> None:
    """Orders are sent again after hundreds of others, the owner having fallen in between."""
    await cluster.insist({"configuration": cluster.deployment.configuration()})
    operators = Operators(cluster, float("inf"))
    early = [await operators.send(operators.next_order(), cluster.newest(), node) for node in operators.nodes(3)]
    for at in range(OPERATORS_LATE_ORDERS):
        await operators.send(operators.next_order(), cluster.newest(), operators.nodes(1)[0])
        if at == OPERATORS_LATE_ORDERS // 2:
            cluster.kill(_owner(cluster), power=True)
    for process in cluster.of_kind("accord"):
        if process.group is None:
            cluster.start(process.name)
    await operators.pause(3_000, 4_000)
    for order in early:
        again = await operators.send(order.change_id, order.base, operators.nodes(1)[0], True)
        expect(cluster, again.status not in (409, 412, 422), f"{order.change_id}, sent late again: {again.status}")
    await close_storm(cluster)


OPERATOR_STORMS: dict[str, Scene] = {
    run.__name__.replace("_", "-"): run
    for run in (
        operators_steady,
        operators_falls,
        operators_cut,
        operators_cut_one_way,
        operators_freezes,
        operators_wipes,
        operators_lost_answers,
        operators_falls_and_lost_answers,
        operators_late,
    )
}
