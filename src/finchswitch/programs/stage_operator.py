"""The operators of a staged fleet: they call the control nodes that run, and all that they are told is recorded."""

from random import Random
from typing import Any

import httpx

from finchswitch.constants import STAGE_READ_MS, STAGE_SENDINGS_MOST
from finchswitch.programs.fleet import Fleet
from finchswitch.simulation.history import Change, History, Read
from finchswitch.simulation.operator_client import OperatorClient
from finchswitch.transport import World

__all__ = ["StageOperator"]


class StageOperator:
    def __init__(self, world: World, fleet: Fleet, history: History, client: httpx.AsyncClient) -> None:
        self.world, self.fleet, self.history, self.client = world, fleet, history, client
        self.chance: Random = world.chance
        self._calls = OperatorClient(client, history, world.now_ms)

    def now_ms(self) -> float:
        return self.world.now_ms()

    async def sleep(self, wait_ms: float) -> None:
        await self.world.sleep(wait_ms)

    def control_nodes(self) -> list[str]:
        return self.fleet.control_nodes()

    def newest(self) -> int:
        return max((change.generation for change in self.history.changes), default=0)

    async def change(self, base: int, content: dict[str, Any], mark: str = "", at: str = "", **fixed: Any) -> Change:
        """Send a change once, to the node named or to any that runs."""
        change = Change(fixed["change_id"], base, self.now_ms(), mark=mark, content=content)
        return await self._calls.send(self._address(at), change, fixed.get("again", False))

    async def insist(self, base: int, content: dict[str, Any], change_id: str) -> Change:
        """Send a change, and again a few times while its fate is open."""
        first_ms = self.now_ms()
        change = await self.change(base, content, change_id=change_id)
        for _ in range(STAGE_SENDINGS_MOST - 1):
            if change.status not in (0, 503, 504):
                break
            change = await self.change(base, content, change_id=change_id, again=True)
        took_ms = round(change.answered_ms - first_ms)
        self.history.notes.setdefault("changes", []).append([change_id, change.status, took_ms])
        return change

    async def read_confirmed(self, at: str = "") -> Read:
        return await self._calls.read(self._address(at))

    async def read_often(self, until_ms: float) -> None:
        """Confirmed reads all the while, at whichever nodes run."""
        while self.now_ms() < until_ms:
            await self.read_confirmed()
            await self.sleep(STAGE_READ_MS)

    def _address(self, name: str) -> str:
        return self.fleet.http_address(
            name or self.chance.choice(self.fleet.running_controls() or self.control_nodes())
        )
