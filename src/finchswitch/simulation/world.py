"""A process's world in the rehearsal: the same calls as the real one, over the wire in memory and virtual time.

Callers' and operators' HTTP is served by hypercorn's own connection handling on streams of the rehearsed wire.
"""

import math
import socket
from random import Random
from typing import Any

import anyio
import h11
import httpx
import trio
from anyio.abc import ByteStream
from hypercorn.config import Config
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState
from hypercorn.utils import wrap_app

from finchswitch.constants import ANSWER_LONGEST_MS, CALLER_STILL_MS, WIRE_FORMAT, WIRE_READS
from finchswitch.simulation.machine import Machine
from finchswitch.simulation.network import Net, SimListener, SimStream, host_of
from finchswitch.transport.client import Proof, make_transport

__all__ = ["SimWorld"]


class _Socket:
    family = socket.AF_INET

    def getpeername(self) -> tuple[str, int]:
        return ("0.0.0.0", 0)

    def getsockname(self) -> tuple[str, int]:
        return ("0.0.0.0", 0)


class _TrioStream:
    """What hypercorn needs of a trio stream."""

    socket = _Socket()

    def __init__(self, stream: SimStream) -> None:
        self._stream = stream

    async def send_all(self, data: bytes) -> None:
        try:
            await self._stream.send(data)
        except anyio.BrokenResourceError:
            raise trio.BrokenResourceError from None
        except anyio.ClosedResourceError:
            raise trio.ClosedResourceError from None

    async def receive_some(self, most: int) -> bytes:
        try:
            return await self._stream.receive(most)
        except anyio.EndOfStream:
            return b""
        except anyio.BrokenResourceError:
            raise trio.BrokenResourceError from None
        except anyio.ClosedResourceError:
            raise trio.ClosedResourceError from None

    async def send_eof(self) -> None:
        await self._stream.send_eof()

    async def aclose(self) -> None:
        await self._stream.aclose()


async def _serve_one(server: TCPServer) -> None:
    """One connection; when a kill strikes between a head and its body, hypercorn tries to send another head."""
    try:
        await server.run()
    except* h11.LocalProtocolError:
        if anyio.current_effective_deadline() > -math.inf:  # nobody killed this process: it would end by itself
            raise


class SimWorld:
    def __init__(self, net: Net, machine: Machine, seed: int) -> None:
        self._net, self._machine = net, machine
        self.chance = Random(seed)
        self.formats = (WIRE_FORMAT, WIRE_READS)

    def now_ms(self) -> float:
        return self._machine.now_ms()

    async def sleep(self, wait_ms: float) -> None:
        await anyio.sleep(max(0.0, wait_ms) / 1000)
        await self._machine.gate()

    async def dial(self, address: str, wait_ms: float) -> ByteStream:
        await self._machine.gate()
        with anyio.fail_after(wait_ms / 1000):
            return await self._net.dial(self._machine, address)

    async def listen(self, address: str) -> SimListener:
        if host_of(address) != self._machine.name:
            raise OSError(f"{address} is not this machine's")
        listener = self._machine.listeners[address] = SimListener(self._machine)
        return listener

    async def serve_http(self, app: Any, address: str, stop: anyio.Event) -> None:
        config, context = Config(), WorkerContext(None)
        config.errorlog, config.keep_alive_timeout = None, 30
        wrapped = wrap_app(app, config.wsgi_max_body_size, "asgi")
        listener = await self.listen(address)
        async with anyio.create_task_group() as group:

            async def accept() -> None:
                while True:
                    stream, _ = await listener.accept()
                    server = TCPServer(wrapped, config, context, ConnectionState({}), _TrioStream(stream))  # type: ignore[arg-type]
                    group.start_soon(_serve_one, server)

            accepting = anyio.CancelScope()

            async def accept_until() -> None:
                with accepting:
                    await accept()

            group.start_soon(accept_until)
            await stop.wait()
            accepting.cancel()
            await listener.aclose()
            self._machine.listeners.pop(address, None)
            await context.terminated.set()
            group.cancel_scope.deadline = anyio.current_time() + (ANSWER_LONGEST_MS + CALLER_STILL_MS) / 1000

    def http_transport(self, proof: Proof | None = None, fresh: bool = False) -> httpx.AsyncBaseTransport:
        return make_transport(self, proof, fresh)
