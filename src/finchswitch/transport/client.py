"""HTTP client transport over a world's wire, with a proof on each new connection.

httpx and httpcore do the HTTP. What is ours is the place where connections are made: a proof may speak on a
new connection, and refuse it, before any request is put on it.
"""

import select
from collections.abc import Iterable
from typing import Any, Protocol

import anyio
import httpcore
import httpx
from anyio.abc import ByteStream, SocketAttribute

from finchswitch.constants import KEPT_CONNECTIONS
from finchswitch.errors import FleetError

__all__ = ["Proof", "make_transport"]


class Proof(Protocol):
    async def __call__(self, stream: ByteStream, address: str) -> None: ...


class Dialer(Protocol):
    async def dial(self, address: str, wait_ms: float) -> ByteStream: ...


class _Stream(httpcore.AsyncNetworkStream):
    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        try:
            with anyio.fail_after(timeout):
                return await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b""
        except TimeoutError:
            raise httpcore.ReadTimeout() from None
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as broken:
            raise httpcore.ReadError(str(broken)) from None

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        try:
            with anyio.fail_after(timeout):
                await self._stream.send(buffer)
        except TimeoutError:
            raise httpcore.WriteTimeout() from None
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as broken:
            raise httpcore.WriteError(str(broken)) from None

    async def aclose(self) -> None:
        await anyio.aclose_forcefully(self._stream)

    def get_extra_info(self, info: str) -> Any:
        if info != "is_readable":
            return None
        raw = self._stream.extra(SocketAttribute.raw_socket, None)
        if raw is None:
            return bool(getattr(self._stream, "has_news", False))
        if raw.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(raw.fileno(), select.POLLIN)
        return bool(poll.poll(0))


class _Http11Connection(httpcore.AsyncHTTP11Connection):
    """A connection that is not kept once anything came behind a whole answer: such bytes belong to no request."""

    async def _response_closed(self) -> None:
        behind, ended = self._h11_state.trailing_data
        if behind or ended:
            await self.aclose()
        else:
            await super()._response_closed()


class _Connection(httpcore.AsyncHTTPConnection):
    """A connection of the pool, over HTTP/1.1 alone."""

    async def handle_async_request(self, request: httpcore.Request) -> httpcore.Response:
        try:
            async with self._request_lock:
                if self._connection is None:
                    stream = await self._connect(request)
                    self._connection = _Http11Connection(origin=self._origin, stream=stream)
        except BaseException:
            self._connect_failed = True
            raise
        return await self._connection.handle_async_request(request)


class _Pool(httpcore.AsyncConnectionPool):
    def create_connection(self, origin: httpcore.Origin) -> httpcore.AsyncConnectionInterface:
        return _Connection(origin, network_backend=self._network_backend)


class _Backend(httpcore.AsyncNetworkBackend):
    def __init__(self, dialer: Dialer, proof: Proof | None) -> None:
        self._dialer, self._proof = dialer, proof

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        address, wait_ms = f"{host}:{port}", (timeout or 5.0) * 1000
        try:
            with anyio.fail_after(wait_ms / 1000):
                stream = await self._dialer.dial(address, wait_ms)
                if self._proof is not None:
                    try:
                        await self._proof(stream, address)
                    except BaseException:
                        with anyio.CancelScope(shield=True):
                            await anyio.aclose_forcefully(stream)
                        raise
        except TimeoutError:
            raise httpcore.ConnectTimeout(f"connect to {address}") from None
        except FleetError as error:
            raise httpcore.ConnectError(str(error)) from None
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream) as broken:
            raise httpcore.ConnectError(f"connect to {address}: {broken}") from None
        return _Stream(stream)

    async def sleep(self, seconds: float) -> None:
        await anyio.sleep(seconds)


def make_transport(dialer: Dialer, proof: Proof | None, fresh: bool) -> httpx.AsyncBaseTransport:
    """An httpx transport whose connections come from the dialer.

    A request that must not run twice needs a fresh connection: on a kept one, a request that the other end closed upon
    could not be told from one that ran.
    """
    kept = 0 if fresh else KEPT_CONNECTIONS
    transport = httpx.AsyncHTTPTransport(verify=False, trust_env=False)  # its own pool is replaced; no TLS here
    transport._pool = _Pool(  # the one seam httpx leaves for a network backend
        max_connections=None,
        max_keepalive_connections=kept,
        network_backend=_Backend(dialer, proof),
    )
    return transport
