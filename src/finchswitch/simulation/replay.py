"""Replay of a HAR file through the callers' interface, keeping its pacing.

haralyzer reads the file. Entries that are not chat completions are counted and skipped; a broken file is named with
the place that is broken. Each replayed request has a request id of its own, since the recorded one was used before.
"""

import json
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import httpx
from haralyzer import HarEntry, HarParser
from httpx_sse import EventSource
from returns.result import Failure, Result, Success

from finchswitch.constants import REPLAY_WAIT_S
from finchswitch.transport import World

__all__ = ["Recording", "read_recording", "replay"]

_PATH = "/v1/chat/completions"
_KEPT = ("x-repeatable", "x-due-ms")


@dataclass(frozen=True)
class Request:
    at_ms: float
    headers: dict[str, str]
    body: str


@dataclass(frozen=True)
class Recording:
    requests: list[Request]
    skipped: int


def read_recording(file: Path) -> Result[Recording, str]:
    """The requests of a HAR file that are ours, from the first one's time on."""
    try:
        content = json.loads(file.read_text("utf-8"))
        entries = HarParser(content).har_data["entries"]
    except OSError as error:
        return Failure(f"{file}: {error.strerror}")
    except (ValueError, UnicodeDecodeError) as error:
        return Failure(f"{file}: {error}")
    except (KeyError, TypeError) as error:
        return Failure(f"{file}: not a HAR file, lacks {error}")
    found: list[tuple[float, dict[str, str], str]] = []
    skipped = 0
    for at, raw in enumerate(entries):
        try:
            read = _read_entry(raw)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            return Failure(f"{file}: log.entries.{at}: {type(error).__name__} {error}")
        if read is None:
            skipped += 1
        else:
            found.append(read)
    found.sort(key=lambda each: each[0])
    first_ms = found[0][0] if found else 0.0
    return Success(Recording([Request(at_ms - first_ms, headers, body) for at_ms, headers, body in found], skipped))


def _read_entry(raw: dict[str, Any]) -> tuple[float, dict[str, str], str] | None:
    entry = HarEntry(raw)
    path = httpx.URL(entry.request.url).path
    if entry.request.method != "POST" or path != _PATH:
        return None
    headers = {each["name"].lower(): each["value"] for each in entry.request.headers}
    kept = {name: headers[name] for name in _KEPT if name in headers}
    return entry.startTime.timestamp() * 1000, kept, str(raw["request"]["postData"]["text"])


async def replay(
    world: World, client: httpx.AsyncClient, address: str, recording: Recording, speed: float
) -> Counter[str]:
    """Send each request at its time; counts outcomes."""
    outcomes: Counter[str] = Counter()
    began_ms = world.now_ms()
    async with anyio.create_task_group() as group:
        for request in recording.requests:
            await world.sleep(began_ms + request.at_ms / speed - world.now_ms())
            group.start_soon(_send, client, address, request, outcomes)
    return outcomes


async def _send(client: httpx.AsyncClient, address: str, request: Request, outcomes: Counter[str]) -> None:
    outcome, done = "no answer", False
    headers = {**request.headers, "content-type": "application/json"}
    try:
        url = f"http://{address}{_PATH}"
        async with client.stream("POST", url, content=request.body, headers=headers, timeout=REPLAY_WAIT_S) as response:
            outcome = response.headers.get("x-outcome", "broken")
            if response.status_code == 200:
                async for event in EventSource(response).aiter_sse():
                    done = done or event.data == "[DONE]"
                outcome = "complete" if done else "broken"
    except httpx.HTTPError:
        pass
    outcomes[outcome] += 1
