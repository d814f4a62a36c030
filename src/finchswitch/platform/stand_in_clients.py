"""Stand-ins of the platform's clients and operator, and the platform's own look at which nodes are ready.

What each saw on its connections is written down, to be checked after the fact.
"""

import json
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpx

from finchswitch.platform.stand_in import time_ms
from finchswitch.simulation.callers import Desk

__all__ = ["Asked", "Gate", "Sent", "ask", "read_events", "request_head", "send_change"]

_LOOK_MS = 1_000.0
_PATH = "/api/configuration"


@dataclass
class Asked:
    """One try of a client, as it saw it."""

    attempt: str
    route: dict[str, Any]
    node: str
    events: int
    at_ms: float
    body: bytes = b""
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    got: list[tuple[int, str, int, str]] = field(default_factory=list)  # id; attempt, number, instance of its data
    whole: bool = False  # the answer ended as a whole one does
    reason: str = ""
    end_ms: float = -1.0


@dataclass
class Sent:
    """One change of the operator's, with its last status; 0 while there was no answer."""

    method: str
    match: int
    document: dict[str, Any]
    status: int = 0
    answer: dict[str, Any] = field(default_factory=dict)
    sent_ms: float = 0.0
    end_ms: float = -1.0


class Gate(Desk):
    """The platform's look at each node: out after two misses, in again with the next good answer."""

    async def look(self) -> None:
        misses: dict[str, int] = {}
        async with httpx.AsyncClient(transport=self.world.http_transport(), trust_env=False) as client:
            while True:
                async with anyio.create_task_group() as group:
                    for name in list(self.nodes):
                        group.start_soon(self._look_once, client, name, misses)
                    await self.world.sleep(_LOOK_MS)

    async def _look_once(self, client: httpx.AsyncClient, name: str, misses: dict[str, int]) -> None:
        host = self.nodes[name][0].rpartition(":")[0]
        try:
            answer = await client.get(f"http://{host}:8001/api/readiness", timeout=0.9 * _LOOK_MS / 1000)
            misses[name] = 0 if answer.status_code == 200 else misses.get(name, 0) + 1
        except httpx.HTTPError:
            misses[name] = misses.get(name, 0) + 1
        if misses[name] == 0:
            self.ready[name] = True
        elif misses[name] >= 2:
            self.ready[name] = False


def request_head(asked: Asked, deadline_ms: int) -> tuple[str, dict[str, str]]:
    """The target and the headers of a try."""
    headers = {
        "host": asked.route["host_name"],
        "x-attempt-id": asked.attempt,
        "x-model": "m",
        "x-token-usage": f"60,{asked.events}",
        "x-prompt-prefix": f"5c1e07a{asked.attempt[0]}:40,{asked.attempt}:20",
        "x-deadline-remaining": str(deadline_ms),
    }
    return f"{asked.route['path_prefix']}2f?q={asked.attempt}", headers


async def ask(client: httpx.AsyncClient, front: str, asked: Asked, deadline_ms: int = 10_000) -> None:
    """One try, to its end."""
    target, headers = request_head(asked, deadline_ms)
    url, text = f"http://{front}{target}", b""
    try:
        with anyio.fail_after(deadline_ms / 1000):
            async with client.stream("POST", url, content=asked.body, headers=headers, timeout=None) as answer:
                asked.status, asked.headers = answer.status_code, dict(answer.headers)
                async for part in answer.aiter_raw():
                    text += part
        asked.whole = asked.status < 300
    except (httpx.HTTPError, TimeoutError) as error:
        asked.reason = repr(error)
    finally:
        asked.end_ms = time_ms()
        asked.reason = asked.reason or (text.decode() if asked.status >= 300 else "")
        asked.got = read_events(text) if asked.status == 200 else []


def read_events(text: bytes) -> list[tuple[int, str, int, str]]:
    """The id of each whole event, and the attempt, number and instance in its data."""
    events = []
    for each in text.decode().split("\n\n")[:-1]:
        number, data = (line.partition(": ")[2] for line in each.split("\n"))
        attempt, at, instance = data.split(" ")
        events.append((int(number), attempt, int(at), instance))
    return events


async def send_change(client: httpx.AsyncClient, desks: list[str], sent: Sent, patience: int = 12) -> None:
    """Send a change until it has a clear answer, each time as it was and to another node."""
    sent.sent_ms, content = time_ms(), json.dumps(sent.document).encode()
    headers = {"if-match": str(sent.match), "content-type": "application/json"}
    for at in range(patience):
        try:
            url = f"http://{desks[at % len(desks)]}{_PATH}"
            answer = await client.request(sent.method, url, content=content, headers=headers, timeout=2.0)
            sent.status, sent.answer = answer.status_code, answer.json()
        except (httpx.HTTPError, ValueError):
            sent.status, sent.answer = 0, {}
        if sent.status and sent.status < 500 and sent.status not in (408, 429):
            break
        await anyio.sleep(0.1 * (at + 1))
    sent.end_ms = time_ms()
