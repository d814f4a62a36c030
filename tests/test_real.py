"""The real machine's wire: asks and proven HTTP connections over loopback sockets."""

import socket

import anyio
import httpx
import pytest
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from finchswitch.router.proof import RunnerProof
from finchswitch.transport import GONE, Book, serve_asks, settle
from finchswitch.transport.real import RealWorld


class Anyone:
    def permits(self, incarnation, ticket):
        return True


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def test_ask_and_answer():
    async def main():
        world, address = RealWorld(), free_address()

        async def echo(asked):
            return {"kind": asked.kind, **asked.body}

        async def answer(inbox):
            async for asked in inbox:
                if asked.kind != GONE:
                    await settle(asked, echo(asked), None)

        async with anyio.create_task_group() as group, serve_asks(world, address, group) as inbox:
            group.start_soon(answer, inbox)
            book = Book(world, group)
            for at in range(3):
                assert await book.ask(address, "hello", {"at": at}) == {"kind": "hello", "at": at}
            group.cancel_scope.cancel()

    anyio.run(main, backend="trio")


def test_no_request_goes_over_a_connection_that_did_not_prove_itself():
    served = []

    async def identity(request):
        return JSONResponse({"runner": "r1", "incarnation": "i1"})

    async def work(request):
        served.append(request.url.path)
        return JSONResponse({})

    async def main():
        world, address, stop = RealWorld(), free_address(), anyio.Event()
        app = Starlette(routes=[Route("/identity", identity), Route("/work", work)])
        async with anyio.create_task_group() as group:
            group.start_soon(world.serve_http, app, address, stop)
            while True:
                try:
                    await (await world.dial(address, 500)).aclose()
                    break
                except OSError:
                    await anyio.lowlevel.checkpoint()
            for incarnation in ("i1", "i2"):
                transport = world.http_transport(RunnerProof("r1", incarnation, Anyone()))
                async with httpx.AsyncClient(transport=transport) as client:
                    if incarnation == "i1":
                        assert (await client.get(f"http://{address}/work")).status_code == 200
                        continue
                    with pytest.raises(httpx.ConnectError, match="is not r1/i2"):
                        await client.get(f"http://{address}/work")
            stop.set()

    anyio.run(main, backend="trio")
    assert served == ["/work"]
