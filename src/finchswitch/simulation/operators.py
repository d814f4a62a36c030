"""Many operators at the control nodes of a simulated cluster: they race, insist, repeat and read."""

from collections import deque
from dataclasses import dataclass, field

import anyio

from finchswitch.constants import OPERATORS_UNDER_WAY_MOST
from finchswitch.simulation.cluster import Cluster
from finchswitch.simulation.history import Change
from finchswitch.simulation.scenes import mark_edit

__all__ = ["Operators"]

SENT_AGAIN_STATUSES = (0, 200, 202, 504)


@dataclass
class Operators:
    """The operators of one run: the orders that may be sent again, and when to stop."""

    cluster: Cluster
    until_ms: float
    orders: deque[Change] = field(default_factory=lambda: deque(maxlen=60))
    count: int = 0

    async def pause(self, least_ms: float, most_ms: float) -> None:
        await self.cluster.outside.sleep(self.cluster.chance.uniform(least_ms, most_ms))

    def running(self) -> bool:
        return self.cluster.now_ms() < self.until_ms

    def nodes(self, count: int) -> list[str]:
        """Control nodes drawn anew, each in turn before one comes twice."""
        names = [process.name for process in self.cluster.of_kind("accord")]
        drawn = self.cluster.chance.sample(names, len(names))
        return [drawn[at % len(drawn)] for at in range(count)]

    def next_order(self) -> str:
        self.count += 1
        return f"order-{self.count}"

    async def send(self, order: str, base: int, at: str, again: bool = False) -> Change:
        """Send an order once. It bears no mark: the fate of one sending says nothing of the others."""
        change = await self.cluster.change(base, mark_edit(f"mark-{order}"), at=at, change_id=order, again=again)
        if change.status in SENT_AGAIN_STATUSES:
            self.orders.append(change)
        return change

    async def race(self) -> None:
        """Two operators send different orders on the same number at once, through different nodes."""
        while self.running():
            base = self.cluster.newest()
            async with anyio.create_task_group() as group:
                for node in self.nodes(2):
                    group.start_soon(self.send, self.next_order(), base, node)
            await self.pause(50, 800)

    async def insist(self) -> None:
        """One order is sent up to eight times while the earlier sendings may still be under way."""
        chance = self.cluster.chance
        while self.running():
            order, base = self.next_order(), self.cluster.newest()
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
                earlier = self.cluster.chance.choice(self.orders)
                await self.send(earlier.change_id, earlier.base, self.nodes(1)[0], True)

    async def read(self) -> None:
        while self.running():
            await self.cluster.read_confirmed()
            await self.pause(5, 300)
