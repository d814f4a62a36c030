"""The real machine: TCP sockets, the system's clock that counts sleep, hypercorn for HTTP."""

import logging
import socket
import time
from random import Random
from typing import Any

import anyio
import httpx
from anyio.abc import ByteStream, SocketAttribute
from hypercorn.config import Config
from hypercorn.trio import serve

from finchswitch.constants import ANSWER_LONGEST_MS, CALLER_STILL_MS, WIRE_FORMAT, WIRE_READS
from finchswitch.errors import FleetError
from finchswitch.transport.client import Proof, make_transport
from finchswitch.transport.world import Listener

__all__ = ["RealWorld", "split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Part an address into IP and port.

    >>> split_address("127.0.0.1:7001")
    ('127.0.0.1', 7001)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


class _RealListener:
    def __init__(self, listener: Any) -> None:
        self._listener = listener

    async def accept(self) -> tuple[ByteStream, str]:
        stream: ByteStream = await self._listener.accept()
        remote = stream.extra(SocketAttribute.remote_address)
        return stream, f"{remote[0]}:{remote[1]}"

    async def aclose(self) -> None:
        await self._listener.aclose()


def _listening(address: str, still_ms: int) -> socket.socket:
    """A bound socket whose connections the kernel closes when the other end takes nothing for so long."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, still_ms)
    try:
        sock.bind(split_address(address))
    except OSError as error:
        sock.close()
        raise FleetError.refused("listen", address, error.strerror or str(error)) from None
    return sock


class RealWorld:
    def __init__(self, seed: int | None = None, still_ms: int = CALLER_STILL_MS) -> None:
        self.chance, self.still_ms = Random(seed), still_ms
        self.formats = (WIRE_FORMAT, WIRE_READS)

    def now_ms(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000

    async def sleep(self, wait_ms: float) -> None:
        await anyio.sleep(max(0.0, wait_ms) / 1000)

    async def dial(self, address: str, wait_ms: float) -> ByteStream:
        host, port = split_address(address)
        with anyio.fail_after(wait_ms / 1000):
            try:
                return await anyio.connect_tcp(host, port)
            except OSError as error:
                if isinstance(error.__cause__, ConnectionRefusedError):
                    raise ConnectionRefusedError(str(error)) from None
                raise

    async def listen(self, address: str) -> Listener:
        host, port = split_address(address)
        try:
            listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        except OSError as error:
            raise FleetError.refused("listen", address, error.strerror or str(error)) from None
        return _RealListener(listener.listeners[0])

    async def serve_http(self, app: Any, address: str, stop: anyio.Event) -> None:
        config = Config()
        config.bind = [f"fd://{_listening(address, self.still_ms).detach()}"]
        config.graceful_timeout = (ANSWER_LONGEST_MS + CALLER_STILL_MS) / 1000
        config.keep_alive_timeout = 30
        config.accesslog, config.errorlog = None, logging.getLogger("hypercorn.quiet")
        await serve(app, config, shutdown_trigger=stop.wait, mode="asgi")

    def http_transport(self, proof: Proof | None = None, fresh: bool = False) -> httpx.AsyncBaseTransport:
        return make_transport(self, proof, fresh)
