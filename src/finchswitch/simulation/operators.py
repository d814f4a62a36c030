"""Many operators at the control nodes of a fleet, simulated or staged: they race, insist, repeat and read."""

from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

import anyio

from finchswitch.constants import OPERATORS_UNDER_WAY_MOST
from finchswitch.simulation.history import Change, Read
from finchswitch.simulation.scenes import mark_edit

__all__ = ["OperatedFleet", "Operators"]

SENT_AGAIN_STATUSES = (0, 200, 202, 504)


class OperatedFleet(Protocol):
    """What operators need of a fleet."""

    chance: Random

    def now_ms(self) -> float: ...

    async def sleep(self, wait_ms: float) -> None: ...

    def control_nodes(self) -> list[str]:
        """The names of the control nodes."""
        ...

    def newest(self) -> int:
        """The highest number that any answer told so far."""
        ...

    async def change(
        self, base: int, content: dict[str, Any], mark: str = "", at: str = "", **fixed: Any
    ) -> Change: ...

    async def read_confirmed(self, at: str = "") -> Read: ...


@dataclass
class Operators:
    """The operators of one run: the orders that may be sent again, and when to stop."""

    fleet: OperatedFleet
    until_ms: float
    orders: deque[Change] = field(default_factory=lambda: deque(maxlen=60))
    count: int = 0

    async def pause(self, least_ms: float, most_ms: float) -> None:
        await self.fleet.sleep(self.fleet.chance.uniform(least_ms, most_ms))

    def running(self) -> bool:
        return self.fleet.now_ms() < self.until_ms

    def nodes(self, count: int) -> list[str]:
        """Control nodes drawn anew, each in turn before one comes twice."""
        names = self.fleet.control_nodes()
        drawn = self.fleet.chance.sample(names, len(names))
        return [drawn[at % len(drawn)] for at in range(count)]

    def next_order(self) -> str:
        self.count += 1
        return f"order-{self.count}"

    async def send(self, order: str, base: int, at: str, again: bool = False) -> Change:
        """Send an order once. It bears no mark: the fate of one sending says nothing of the others."""
        change = await self.fleet.change(base, mark_edit(f"mark-{order}"), at=at, change_id=order, again=again)
        if change.status in SENT_AGAIN_STATUSES:
            self.orders.append(change)
        return change

    async def race(self) -> None:
        """Two operators send different orders on the same number at once, through different nodes."""
        while self.running():
            base = self.fleet.newest()
            async with anyio.create_task_group() as group:
                for node in self.nodes(2):
                    group.start_soon(self.send, self.next_order(), base, node)
            await self.pause(50, 800)

    async def insist(self) -> None:
        """One order is sent up to eight times while the earlier sendings may still be under way."""
        chance = self.fleet.chance
        while self.running():
            order, base = self.next_order(), self.fleet.newest()
            sendings = chance.choice([2, 3, OPERATORS_UNDER_WAY_MOST])
            gap_ms = chance.choice([0, 5, 60])
            async with anyio.create_task_group() as group:
                for at, node in enumerate(self.nodes(sendings)):
                    group.start_soon(self.send, order, base, node, at > 0)
                    await self.pause(0, gap_ms)
            await self.pause(50, 1_200)

    async def repeat(self) -> None:
        """Orders that were taken, or whose fate is open, are sent again long after, to any node."""
        while self.running():
            await self.pause(50, 800)
            if self.orders:
                earlier = self.fleet.chance.choice(self.orders)
                await self.send(earlier.change_id, earlier.base, self.nodes(1)[0], True)

    async def stay(self, node: str, until_ms: float) -> None:
        """One operator goes on sending new orders on the newest number to one node, without waiting for answers."""
        async with anyio.create_task_group() as group:
            while self.fleet.now_ms() < until_ms:
                group.start_soon(self.send, self.next_order(), self.fleet.newest(), node)
                await self.pause(50, 500)

    async def operate(self) -> None:
        """All of them at once, until it is time to stop."""
        async with anyio.create_task_group() as group:
            for operator in (self.race, self.race, self.insist, self.repeat, self.read):
                group.start_soon(operator)

    async def read(self) -> None:
        while self.running():
            await self.fleet.read_confirmed()
            await self.pause(5, 300)
