"""What is gone for long is forgotten, by time or by an operator's word, and garbage at a door harms nobody."""

import json
from dataclasses import replace

import anyio
import httpx

from finchswitch.simulation.deployments import VILLAGE
from finchswitch.simulation.play import play
from finchswitch.simulation.scenes import mark_edit, open_up

GOOD = json.dumps({"model": "rulings", "stream": True, "messages": [{"role": "user", "content": "hi"}]}).encode()
HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
WHOLE = HEAD + b"Content-Length: %d\r\n\r\n" % len(GOOD) + GOOD


def test_dark_nodes_hold_changes_up_until_declared_gone(staged):
    async def scene(cluster):
        await open_up(cluster)
        dark = ["transit1", "transit2", "transit3"]
        for name in dark:
            cluster.kill(name, power=True)
        await cluster.outside.sleep(5_000)
        assert (await cluster.change(1, mark_edit("mark-a"))).status == 202
        async with httpx.AsyncClient(transport=cluster.outside.http_transport(), timeout=9) as client:
            assert (await client.delete("http://10.0.9.1:8000/v1/members/transit4")).status_code == 404
            for name in dark:
                assert (await client.delete(f"http://10.0.9.1:8000/v1/members/{name}")).status_code == 200
        await cluster.outside.sleep(1_000)
        assert (await cluster.change(2, mark_edit("mark-b"))).status == 200
        for name in dark:
            cluster.start(name)
        assert await cluster.settle()
        assert (await cluster.change(3, mark_edit("mark-c"))).status == 200

    staged(scene)


def test_a_runner_long_unlisted_is_forgotten_but_not_that_it_was_leaving(staged):
    async def scene(cluster):
        await open_up(cluster)
        await cluster.call(2_000, 1.0)
        gone = "village-r1-i1"
        cluster.leave(gone)
        await cluster.outside.sleep(1_000)
        point = cluster.platform.points.pop(gone)
        await cluster.outside.sleep(90_000)
        node = cluster.processes["transit1"].node
        assert gone not in node.roster.known and gone not in node.beliefs.counts()
        cluster.platform.points[gone] = (point[0], point[1], False)
        await cluster.outside.sleep(1_000)
        assert node.roster.known[gone].state_machine.state.value == "leaving"

    staged(scene)


def test_garbage_at_the_doors_harms_nobody(staged):
    garbage = [b"\x00\xff" * 50, b"GET / HTTP/1.1\r\n\r\n", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", WHOLE * 2, WHOLE[:40]]
    garbage += [HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nabc", b"A" * 200_000, WHOLE + b"garbage"]

    async def scene(cluster):
        await open_up(cluster)
        for at in range(80):
            stream = await cluster.outside.dial(["10.0.1.1:8000", "10.0.9.1:8000"][at % 2], 500)
            with anyio.move_on_after(cluster.chance.uniform(0, 0.2)):
                try:
                    await stream.send(garbage[at % len(garbage)])
                    while True:
                        await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    pass
            await stream.aclose()
        await cluster.outside.sleep(1_000)
        assert not cluster.processes["transit1"].node.underway
        await cluster.call(1_000, 1.0)
        assert all(call.outcome == "complete" for call in cluster.history.calls)

    staged(scene)


def test_seeds_may_be_routing_nodes():
    async def scene(cluster):
        await open_up(cluster)
        await cluster.call(1_000, 1.0)
        cluster.kill("accord1", power=True)
        assert (await cluster.insist(mark_edit("mark-a"))).status == 200
        cluster.kill("transit4")
        cluster.start("transit4")
        assert await cluster.settle()

    history = play(scene, replace(VILLAGE, seeds="transit"), 1)
    assert history.calls and all(call.outcome == "complete" for call in history.calls)
    assert all(holds for _, holds in history.notes["expected"])
