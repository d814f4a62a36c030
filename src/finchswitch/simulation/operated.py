"""The operators of a rehearsed fleet: they send changes, and insist where an answer stays out."""

from random import Random
from typing import Any

import httpx

from finchswitch.simulation.history import Change, History, Read
from finchswitch.simulation.operator_client import OperatorClient
from finchswitch.simulation.world import SimWorld

__all__ = ["Operated"]


class Operated:
    """What a cluster's operators need of it, and what they do."""

    history: History
    chance: Random
    outside: SimWorld
    processes: dict[str, Any]
    changes: int

    def now_ms(self) -> float:
        raise NotImplementedError

    def of_kind(self, kind: str) -> list[Any]:
        raise NotImplementedError

    async def sleep(self, wait_ms: float) -> None:
        await self.outside.sleep(wait_ms)

    def control_nodes(self) -> list[str]:
        return [process.name for process in self.of_kind("accord")]

    async def change(self, base: int, content: dict[str, Any], mark: str = "", at: str = "", **fixed: Any) -> Change:
        """Send one change to one control node; its fate may stay open."""
        self.changes += 1
        change = Change(fixed.get("change_id", f"c{self.changes}"), base, self.now_ms(), mark=mark, content=content)
        async with httpx.AsyncClient(transport=self.outside.http_transport(), timeout=8) as client:
            operator = OperatorClient(client, self.history, self.now_ms)
            return await operator.send(self._operator_address(at), change, fixed.get("again", False))

    async def read_confirmed(self, at: str = "") -> Read:
        """Read the configuration as a majority confirms it, at one control node."""
        async with httpx.AsyncClient(transport=self.outside.http_transport(), timeout=2) as client:
            return await OperatorClient(client, self.history, self.now_ms).read(self._operator_address(at))

    def _operator_address(self, at: str) -> str:
        name = at or self.chance.choice(self.control_nodes())
        return f"{self.processes[name].host}:8000"

    async def insist(self, content: dict[str, Any], mark: str = "", most_ms: float = 20_000) -> Change:
        """Send a change until it is taken, as a patient operator would."""
        until_ms, base = self.now_ms() + most_ms, max(0, self.newest())
        change = await self.change(base, content, mark)
        while change.status not in (200, 202) and self.now_ms() < until_ms:
            if change.status == 409:
                base = change.generation
                change = await self.change(base, content, mark)
                continue
            await self.outside.sleep(200)
            change = await self.change(base, content, mark, change_id=change.change_id, again=True)
        return change

    def newest(self) -> int:
        return max((change.generation for change in self.history.changes), default=0)
