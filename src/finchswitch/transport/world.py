"""What a process needs of its machine: a wire, a clock and a source of chance.

There are two makings: ``wire.real`` over the operating system, and the rehearsal's over memory and virtual
time. No other module opens a socket, reads a clock or sleeps by itself.
"""

from random import Random
from typing import Any, Protocol

import anyio
import httpx
from anyio.abc import ByteStream

__all__ = ["Listener", "World"]


class Listener(Protocol):
    async def accept(self) -> tuple[ByteStream, str]: ...

    async def aclose(self) -> None: ...


class World(Protocol):
    chance: Random
    formats: tuple[int, int]  # the wire format that this process writes, and the highest that it reads

    def now_ms(self) -> float:
        """Milliseconds that only grow and count the time a machine was frozen."""

    async def sleep(self, wait_ms: float) -> None: ...

    async def dial(self, address: str, wait_ms: float) -> ByteStream: ...

    async def listen(self, address: str) -> Listener: ...

    async def serve_http(self, app: Any, address: str, stop: anyio.Event) -> None:
        """Serve an ASGI app until stop is set, then finish what is under way."""

    def http_transport(self, proof: Any = None, fresh: bool = False) -> httpx.AsyncBaseTransport:
        """A client transport; ``proof(stream, address)`` runs on each new connection, fresh ones serve one request."""
