"""The accepting end of the simulated network, and what is written down of connections that are watched."""

import re
from collections import deque
from typing import TYPE_CHECKING

import anyio

from finchswitch.simulation.history import DialSeen

if TYPE_CHECKING:
    from finchswitch.simulation.machine import Machine
    from finchswitch.simulation.network import SimStream

__all__ = ["SimListener", "note_dial"]


def note_dial(seen: DialSeen, data: bytes) -> None:
    """What went over a connection that was dialled: which request, or the reading of vitals."""
    if data.startswith(b"GET /metrics"):
        seen.what = "vitals"
    elif data.startswith(b"POST "):
        found = re.search(rb"\r\nx-request-id: ([^\r]*)\r\n", data, re.IGNORECASE)
        seen.what, seen.request_id = "request", found[1].decode() if found else ""


class SimListener:
    def __init__(self, machine: "Machine") -> None:
        self._machine = machine
        self._waiting: deque[SimStream] = deque()
        self._event = anyio.Event()
        self.closed = False

    def put(self, stream: "SimStream") -> None:
        self._waiting.append(stream)
        self._event.set()
        self._event = anyio.Event()

    async def accept(self) -> "tuple[SimStream, str]":
        while not self._waiting:
            if self.closed:
                raise anyio.ClosedResourceError
            await self._event.wait()
        await self._machine.gate()
        stream = self._waiting.popleft()
        return stream, f"{stream._other.name}:{stream.number}"

    async def aclose(self) -> None:
        self.closed = True
        self._event.set()
