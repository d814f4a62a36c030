"""Answers longer than a minute, callers that read nothing, and what a planned stop makes of both."""

import json
import socket

import anyio
import httpx
from starlette.applications import Starlette
from starlette.responses import StreamingResponse
from starlette.routing import Route

from finchswitch.simulation.callers import call_once
from finchswitch.simulation.checkers import CHECKERS
from finchswitch.simulation.history import Call
from finchswitch.simulation.scenes import open_up
from finchswitch.transport.real import RealWorld, split_address


def asking(pieces):
    messages = [{"role": "user", "content": "hi"}]
    body = json.dumps({"model": "rulings", "stream": True, "max_tokens": pieces, "messages": messages}).encode()
    return b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body) + body


async def long_call(cluster, pieces, **settings):
    """A call of a piece a second, at transit1, beside whatever the scene does."""
    configuration = cluster.deployment.configuration()
    configuration["settings"].update(settings)
    await cluster.insist({"configuration": configuration})
    assert await cluster.settle()
    for runner in cluster.runners.values():
        runner.traits.piece_ms = 1_000.0
    call = Call("long", "rulings", False, "transit1", cluster.outside.now_ms())
    cluster.history.calls.append(call)
    return call, {**json.loads(asking(pieces).partition(b"\r\n\r\n")[2])}


def test_a_planned_stop_waits_for_an_answer_of_over_a_minute(staged):
    async def scene(cluster):
        call, body = await long_call(cluster, 100)
        traffic = cluster.deployment.traffic[0]
        async with httpx.AsyncClient(transport=cluster.outside.http_transport()) as client:
            async with anyio.create_task_group() as group:
                group.start_soon(call_once, cluster.outside, client, "10.0.1.1:8000", traffic, body, call)
                await cluster.outside.sleep(2_000)
                await cluster.stop_softly("transit1")
        assert (call.outcome, call.done, len(call.pieces)) == ("complete", True, 100)

    assert CHECKERS["planned-cuts-nothing"](staged(scene)) == []


def test_an_answer_past_the_bound_ends_as_a_mishap(staged):
    async def scene(cluster):
        call, body = await long_call(cluster, 60, answerMostMs=10_000)
        traffic = cluster.deployment.traffic[0]
        async with httpx.AsyncClient(transport=cluster.outside.http_transport()) as client:
            await call_once(cluster.outside, client, "10.0.1.1:8000", traffic, body, call)
        assert (call.outcome, call.done) == ("unknown", False) and 9 <= len(call.pieces) <= 10
        assert "answerMostMs" in call.reason
        assert not cluster.processes["transit1"].node.burdens.spoken(0.0)

    staged(scene)


def test_a_caller_that_reads_nothing_holds_neither_seat_nor_stop(staged):
    async def scene(cluster):
        await open_up(cluster)
        node = cluster.processes["transit1"].node
        stream = await cluster.outside.dial("10.0.1.1:8000", 500)
        await stream.send(asking(2_000))
        await cluster.outside.sleep(20_000)
        assert node.burdens.spoken(0.0), "it has not been given up yet"
        await cluster.outside.sleep(40_000)
        assert not node.burdens.spoken(0.0) and not node.underway
        half = await cluster.outside.dial("10.0.1.1:8000", 500)
        await half.send(asking(5)[:-3])
        await cluster.outside.sleep(1_000)
        began_ms = cluster.now_ms()
        await cluster.stop_softly("transit1")
        assert cluster.now_ms() - began_ms < 35_000

    staged(scene)


def test_a_real_connection_that_takes_nothing_is_closed():
    """Over loopback: the kernel gives up a connection whose other end reads nothing, and the server sees it."""
    ended = []

    async def endless(request):
        async def pieces():
            try:
                while True:
                    yield b"x" * 65_536
            finally:
                ended.append(1)

        return StreamingResponse(pieces())

    async def main():
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{probe.getsockname()[1]}"
        world, stop = RealWorld(still_ms=200), anyio.Event()
        app = Starlette(routes=[Route("/", endless)])
        async with anyio.create_task_group() as group:
            group.start_soon(world.serve_http, app, address, stop)
            while True:
                try:
                    stream = await anyio.connect_tcp(*split_address(address))
                    break
                except OSError:
                    await anyio.lowlevel.checkpoint()
            await stream.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            with anyio.fail_after(20):
                while not ended:
                    await anyio.lowlevel.checkpoint()
            await anyio.aclose_forcefully(stream)
            stop.set()

    anyio.run(main, backend="trio")
    assert ended
