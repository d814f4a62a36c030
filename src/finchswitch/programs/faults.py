"""What stage does to a running fleet: the planned, the frozen, the lost, each over the time that callers call."""

import signal
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from finchswitch.programs.stage_operator import StageOperator
from finchswitch.simulation.callers import Desk
from finchswitch.simulation.history import Change, Fault
from finchswitch.simulation.operators import Operators

__all__ = ["FAULTS", "Hands"]


class Hands:
    """What a fault may use: the fleet, its history, and an operator."""

    def __init__(self, operator: StageOperator, desk: Desk, seconds: int) -> None:
        self.operator, self.desk, self.seconds = operator, desk, seconds
        self.world, self.fleet, self.history = operator.world, operator.fleet, operator.history
        self.base = 1

    async def change(self, content: dict[str, Any], change_id: str) -> Change:
        change = await self.operator.insist(self.base, content, change_id)
        self.base = max(self.base, change.generation)
        return change

    def kill(self, name: str) -> None:
        now_ms = self.world.now_ms()
        self.history.faults.append(Fault(name, now_ms, now_ms))
        self.fleet.signal(name, signal.SIGKILL)

    def freeze(self, name: str) -> None:
        self.history.failing(name, self.world.now_ms())
        self.fleet.signal(name, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        self.fleet.signal(name, signal.SIGCONT)
        self.history.mended(name, self.world.now_ms())

    async def tell(self, act: str, name: str, incarnation: str) -> None:
        await self.fleet.tell(self.operator.client, self.history, self.world, act, name, incarnation)

    async def pause(self, share: float) -> None:
        await self.world.sleep(1000 * self.seconds * share)


async def planned(hands: Hands) -> None:
    """A move plan, a control node killed while a change is sent, and a rolling stop of all routing nodes."""
    deployment, fleet, world = hands.fleet.deployment, hands.fleet, hands.world
    await hands.pause(0.1)
    leaving, bindings = deployment.runner_names()[0], [each.service for each in deployment.traffic]
    plan = {"leaving": [leaving], "arriving": deployment.spare, "bindings": bindings}
    await hands.change({"edits": [{"kind": "plans", "name": "move", "value": plan}]}, "move")
    await hands.pause(0.1)
    hands.kill("accord1")
    await hands.pause(0.05)
    await hands.change({"edits": [{"kind": "settings", "name": "spillShare", "value": 0.85}]}, "while-one-is-gone")
    fleet.start("accord1")
    pause_ms = 1000 * hands.seconds * 0.6 / len(hands.desk.nodes)
    for name in sorted(hands.desk.nodes):
        began_ms = world.now_ms()
        await fleet.stop_softly(name, world)
        fleet.start(name)
        await world.sleep(max(0.0, pause_ms - (world.now_ms() - began_ms)))


async def freeze(hands: Hands) -> None:
    """One machine after another is stopped by SIGSTOP past every lease and wakes, with changes meanwhile."""
    fleet, chance = hands.fleet, hands.world.chance
    names = ["accord1", *sorted(hands.desk.nodes)[:2], "accord2", f"{fleet.deployment.runner_names()[0]}-i1"]
    for at, name in enumerate(names):
        hands.freeze(name)
        await hands.pause(0.05)
        value = chance.choice([0.8, 0.9])
        await hands.change({"edits": [{"kind": "settings", "name": "spillShare", "value": value}]}, f"frozen-{at}")
        await hands.pause(0.05)
        hands.thaw(name)
        await hands.pause(0.07)


async def crash(hands: Hands) -> None:
    """Control and routing nodes are killed outright one after another, each with a change while it is gone."""
    fleet = hands.fleet
    for at, name in enumerate(["accord2", "transit1", "accord3", "transit2", "accord1"]):
        hands.kill(name)
        await hands.pause(0.03)
        edit = {"kind": "settings", "name": "spillShare", "value": 0.8 + at / 100}
        await hands.change({"edits": [edit]}, f"crashed-{at}")
        await hands.pause(0.04)
        fleet.start(name)
        await hands.pause(0.1)


async def loss(hands: Hands) -> None:
    """Every process of the fleet is killed at once, after a change was acknowledged, and started again."""
    fleet, world = hands.fleet, hands.world
    await hands.pause(0.2)
    before = await hands.change({"edits": [{"kind": "settings", "name": "spillShare", "value": 0.8}]}, "before")
    own = [name for name in fleet.running() if name.startswith(("accord", "transit"))]
    for name in own:
        hands.kill(name)
    lost_ms = world.now_ms()
    await world.sleep(2_000)
    for name in own:
        fleet.start(name)
    back_ms = world.now_ms()
    await world.sleep(12_000)
    after = [c for c in hands.history.calls if c.asked_ms > world.now_ms() - 2_000 and c.end_ms > 0]
    good = sum(call.outcome == "complete" for call in after)
    hands.history.notes["loss"] = {
        "acknowledged": before.status,
        "downMs": round(back_ms - lost_ms),
        "served12sAfterReturn": f"{good} of {len(after)}",
    }
    await hands.change({"edits": [{"kind": "settings", "name": "spillShare", "value": 0.9}]}, "after")


async def runners(hands: Hands) -> None:
    """One runner is killed and its address taken by its next incarnation, one replaced as planned, one frozen."""
    fleet, (first, second, third, *_) = hands.fleet, hands.fleet.deployment.runner_names()
    await hands.pause(0.1)
    hands.kill(f"{first}-i1")
    fleet.add_runner(first, f"{first}-i2", fleet.addresses[f"{first}-i1"])
    fleet.start(f"{first}-i2")
    await hands.world.sleep(2_500)  # it answers there while the list still shows the old one
    await hands.tell("remove", first, f"{first}-i1")
    await hands.tell("list", first, f"{first}-i2")
    await hands.pause(0.15)
    fleet.add_runner(second, f"{second}-i2")
    fleet.start(f"{second}-i2")
    await hands.world.sleep(1_500)
    await hands.tell("list", second, f"{second}-i2")
    await hands.tell("leave", second, f"{second}-i1")
    await hands.world.sleep(5_000)
    await fleet.stop_softly(f"{second}-i1", hands.world)
    await hands.tell("remove", second, f"{second}-i1")
    await hands.pause(0.1)
    hands.freeze(f"{third}-i1")
    await hands.world.sleep(3_000)
    hands.thaw(f"{third}-i1")


async def storm(hands: Hands) -> None:
    """Control and routing nodes are killed and frozen at seeded moments, several at once, under racing operators."""
    fleet, world, chance = hands.fleet, hands.world, hands.world.chance
    nodes, cores = sorted(hands.desk.nodes), [f"accord{at}" for at in range(1, fleet.deployment.cores + 1)]
    until_ms = world.now_ms() + 1000 * hands.seconds * 0.8
    async with anyio.create_task_group() as group:
        for who in range(2):
            group.start_soon(_race, hands, who, until_ms)
        while world.now_ms() < until_ms:
            some, few = chance.choice([0, 1, 1, 2]), chance.choice([0, 1, 1, 2])
            names = [*chance.sample(nodes, some), *chance.sample(cores, few)]
            freezing = chance.random() < 0.4
            for name in names:
                hands.freeze(name) if freezing else hands.kill(name)
            await world.sleep(chance.uniform(200, 3_500))
            for name in names:
                hands.thaw(name) if freezing else fleet.start(name)
            await world.sleep(chance.uniform(1_500, 4_000))


async def _race(hands: Hands, who: int, until_ms: float) -> None:
    at = 0
    while hands.world.now_ms() < until_ms:
        at += 1
        value = round(hands.world.chance.uniform(0.7, 0.95), 3)
        await hands.change({"edits": [{"kind": "settings", "name": "spillShare", "value": value}]}, f"race-{who}-{at}")
        await hands.world.sleep(hands.world.chance.uniform(100, 900))


async def operators(hands: Hands) -> None:
    """Many operators race, insist and repeat while one control node after another is killed or frozen."""
    fleet, world, chance = hands.fleet, hands.world, hands.world.chance
    many = Operators(hands.operator, world.now_ms() + 1000 * hands.seconds * 0.9)
    async with anyio.create_task_group() as group:
        group.start_soon(many.operate)
        while many.running():
            name, freezing = chance.choice(fleet.control_nodes()), chance.random() < 0.5
            hands.freeze(name) if freezing else hands.kill(name)
            await world.sleep(chance.uniform(200, 6_000))
            hands.thaw(name) if freezing else fleet.start(name)
            await world.sleep(chance.uniform(500, 3_000))


async def none(hands: Hands) -> None:
    """Nothing fails."""


FAULTS: dict[str, Callable[[Hands], Awaitable[None]]] = {
    "planned": planned,
    "crash": crash,
    "freeze": freeze,
    "loss": loss,
    "runners": runners,
    "storm": storm,
    "operators": operators,
    "none": none,
}
