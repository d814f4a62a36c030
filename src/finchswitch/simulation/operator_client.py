"""An operator's calls to the control nodes, each written down in a history: one entry for one sending."""

from collections.abc import Callable
from typing import Any

import httpx

from finchswitch.simulation.history import Change, History, Read
from finchswitch.simulation.register_history import content_digest

__all__ = ["OperatorClient"]


class OperatorClient:
    """Sends changes and confirmed reads over HTTP; what an answer says is recorded, whatever it is."""

    def __init__(self, client: httpx.AsyncClient, history: History, now_ms: Callable[[], float]) -> None:
        self._client, self._history, self._now_ms = client, history, now_ms

    async def send(self, address: str, change: Change, again: bool) -> Change:
        """Send a change once; its status stays 0 if no answer came."""
        change.sent_ms = self._now_ms()
        self._history.changes.append(change)
        body = {"changeId": change.change_id, "base": change.base, "again": again, **change.content}
        try:
            response = await self._client.post(f"http://{address}/v1/changes", json=body)
            change.status, change.generation = response.status_code, int(response.json().get("generation", -1))
        except (httpx.HTTPError, ValueError):
            change.status = 0
        change.answered_ms = self._now_ms()
        return change

    async def read(self, address: str) -> Read:
        """Read the configuration as a majority confirms it."""
        read = Read(self._now_ms(), -1, unanswered=True)
        self._history.reads.append(read)
        try:
            response = await self._client.get(f"http://{address}/v1/configuration?current=true")
            answer = response.json()
        except (httpx.HTTPError, ValueError):
            return read
        if response.status_code == 200:
            self._note(read, answer)
        return read

    def _note(self, read: Read, answer: dict[str, Any]) -> None:
        read.generation = int(answer.get("generation", -1))
        read.digest = content_digest(answer.get("configuration", {}))
        read.answered_ms = self._now_ms()
        read.unanswered = False
