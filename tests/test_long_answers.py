"""Answers longer than a minute, callers that read nothing, and what a planned stop makes of both."""

import json
import socket

import anyio
import httpx
from starlette.applications import Starlette
from starlette.responses import StreamingResponse
from starlette.routing import Route

from finchswitch.rehearsal.callers import call_once
from finchswitch.rehearsal.checkers import CHECKERS
from finchswitch.rehearsal.history import Call
from finchswitch.rehearsal.scenes import open_up
from finchswitch.wire.real import RealWorld, split_address


def asking(pieces):
    messages = [{"role": "user", "content": "hi"}]
    body = json.dumps({"model": "rulings", "stream": True, "max_tokens": pieces, "messages": messages}).encode()
    return b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body) + body


async def long_call(theatre, pieces, **settings):
    """A call of a piece a second, at transit1, beside whatever the scene does."""
    creed = theatre.deployment.creed()
    creed["settings"].update(settings)
    await theatre.insist({"configuration": creed})
    assert await theatre.settle()
    for runner in theatre.runners.values():
        runner.traits.piece_ms = 1_000.0
    call = Call("long", "rulings", False, "transit1", theatre.outside.now_ms())
    theatre.history.calls.append(call)
    return call, {**json.loads(asking(pieces).partition(b"\r\n\r\n")[2])}


def test_a_planned_stop_waits_for_an_answer_of_over_a_minute(staged):
    async def scene(theatre):
        call, body = await long_call(theatre, 100)
        traffic = theatre.deployment.traffic[0]
        async with httpx.AsyncClient(transport=theatre.outside.http_transport()) as client:
            async with anyio.create_task_group() as group:
                group.start_soon(call_once, theatre.outside, client, "10.0.1.1:8000", traffic, body, call)
                await theatre.outside.sleep(2_000)
                await theatre.stop_softly("transit1")
        assert (call.outcome, call.done, len(call.pieces)) == ("complete", True, 100)

    assert CHECKERS["planned-cuts-nothing"](staged(scene)) == []


def test_an_answer_past_the_bound_ends_as_a_mishap(staged):
    async def scene(theatre):
        call, body = await long_call(theatre, 60, answerMostMs=10_000)
        traffic = theatre.deployment.traffic[0]
        async with httpx.AsyncClient(transport=theatre.outside.http_transport()) as client:
            await call_once(theatre.outside, client, "10.0.1.1:8000", traffic, body, call)
        assert (call.outcome, call.done) == ("unknown", False) and 9 <= len(call.pieces) <= 10
        assert "answerMostMs" in call.reason
        assert not theatre.actors["transit1"].node.burdens.spoken(0.0)

    staged(scene)


def test_a_caller_that_reads_nothing_holds_neither_seat_nor_stop(staged):
    async def scene(theatre):
        await open_up(theatre)
        node = theatre.actors["transit1"].node
        stream = await theatre.outside.dial("10.0.1.1:8000", 500)
        await stream.send(asking(2_000))
        await theatre.outside.sleep(20_000)
        assert node.burdens.spoken(0.0), "it has not been given up yet"
        await theatre.outside.sleep(40_000)
        assert not node.burdens.spoken(0.0) and not node.underway
        half = await theatre.outside.dial("10.0.1.1:8000", 500)
        await half.send(asking(5)[:-3])
        await theatre.outside.sleep(1_000)
        began_ms = theatre.now_ms()
        await theatre.stop_softly("transit1")
        assert theatre.now_ms() - began_ms < 35_000

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
