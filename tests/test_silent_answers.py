"""An answer that is taken from a silent runner loses no piece, and a node that stood still judges nobody by it."""

from random import Random
from types import SimpleNamespace

import anyio
import httpx
import pytest

from finchswitch.affinity import Opening, Seatable, Way
from finchswitch.bounds import Bounds
from finchswitch.router import call as call_module
from finchswitch.router.dialect import Call, Head, Piece
from finchswitch.router.watch import Watch
from finchswitch.simulation.network import Net
from finchswitch.simulation.play import in_virtual_time
from finchswitch.simulation.world import SimWorld

OTHERS = 5  # connections that are read before this one
PIECES = [Piece(f"id: {number}\n\n".encode(), str(number)) for number in range(1, 5)]


class Dialect:
    kept = True

    def opened(self, call, head, ticket, way):
        return head.status, []

    def broken(self, error):
        return None


class Roster:
    def __init__(self, known):
        self.known = {known.incarnation: known}
        self.doubted = 0

    def suspect(self, known, why):
        self.doubted += 1
        known.down_until_ms = 1e18


class Node:
    """What one request needs of a routing node; grants name one runner after the other."""

    def __init__(self, world):
        self.world, self.stopping, self.bounds = world, False, Bounds()
        self.known = SimpleNamespace(runner="r", incarnation="i", heard_ms=-1e18, down_until_ms=0.0)
        self.known.heard = lambda now_ms: setattr(self.known, "heard_ms", now_ms)
        self.roster, self.watch = Roster(self.known), Watch(self)
        self.vitals = {"complete": 0, "broken": 0}
        self.tries = SimpleNamespace(prompt=lambda *_: None)
        self.crowds = SimpleNamespace(count=lambda *_: None)
        self.sent = SimpleNamespace(take_back=lambda *_: None)
        self.take_seat = lambda drawn, rank: SimpleNamespace(begun=lambda weights: None, free=lambda: None)
        self.may_try_again, self.missed = lambda service: True, lambda incarnation, error: None
        self.has_another_runner = lambda call, tried: True
        self.granted = 0

    def grant(self, call, tried, began_ms):
        self.granted += 1
        runner = Seatable(f"r{self.granted}", "i", 1, 0, "s")
        return SimpleNamespace(runner=runner, first_ms=50.0, way=Way.HOME), 400.0


def resumable():
    opening = Opening("s", "o", 10, 10)
    return Call("one", "s", False, opening, b"", 400.0, 10_000.0, 100.0, resumable=True, most_runners=3)


def play(scene):
    async def run():
        async with anyio.create_task_group() as group:
            net = Net(Random(1))
            node = Node(SimWorld(net, net.machine("10.0.1.1"), 1))
            await scene(node, group)
            group.cancel_scope.cancel()
        return node

    return in_virtual_time(run, 1)


def answering(monkeypatch, run):
    """Attempts give the pieces behind the last one that was passed on, and ``run`` says what is between them."""

    async def answer_of(node, dialect, known, call, ticket, due_ms, left_ms, after):
        for piece in PIECES[int(after or 0) :]:
            await run(node, piece)
            yield Head(""), piece

    monkeypatch.setattr(call_module, "answer_of", answer_of)


async def passed_on(node, send=None):
    """The bodies that the caller gets of one request."""
    got = []

    async def keep(message):
        await anyio.lowlevel.checkpoint()
        if send is not None:
            await send(message)
        got.append(message.get("body", b""))

    assert await call_module._run(node, Dialect(), resumable(), keep)
    return b"".join(got)


def test_a_piece_that_comes_as_its_runner_is_given_up_is_passed_on(monkeypatch):
    got = []

    async def run(node, piece):
        await anyio.sleep(0.05)
        if piece.at == "2" and node.granted == 1:
            node.world._machine.stall(0.0)
            for watched in list(node.watch._tries):
                watched.last_ms = node.known.heard_ms = -1e18
                node.watch._judge([watched], node.world.now_ms())  # in the step in which the piece comes

    answering(monkeypatch, run)

    async def scene(node, group):
        got.append(await passed_on(node))

    play(scene)
    assert got == [b"".join(piece.data for piece in PIECES)]


@pytest.mark.parametrize("stuck_at", [0, 1, 3])
def test_a_caller_that_takes_its_time_does_not_make_a_runner_silent(monkeypatch, stuck_at):
    got, sends = [], []

    async def run(node, piece):
        await anyio.sleep(0.02)

    async def send(message):
        sends.append(message)
        if len(sends) == stuck_at + 1:
            await anyio.sleep(5.0)

    answering(monkeypatch, run)

    async def scene(node, group):
        group.start_soon(node.watch.look)
        got.append(await passed_on(node, send))

    node = play(scene)
    assert got == [b"".join(piece.data for piece in PIECES)]
    assert node.granted == 1 and node.roster.doubted == 0


def test_a_runner_that_stays_silent_is_left_for_another(monkeypatch):
    got = []

    async def run(node, piece):
        await anyio.sleep(60.0 if piece.at == "3" and node.granted == 1 else 0.02)

    answering(monkeypatch, run)

    async def scene(node, group):
        group.start_soon(node.watch.look)
        got.append(await passed_on(node))

    node = play(scene)
    assert got == [b"".join(piece.data for piece in PIECES)]
    assert node.granted == 2 and node.roster.doubted == 1


def test_a_node_that_stood_still_judges_nobody_by_that_time(monkeypatch):
    got = []

    async def run(node, piece):
        await anyio.sleep(0.08)
        await node.world._machine.gate()
        for _ in range(OTHERS):  # what came meanwhile is read one connection after the other
            await anyio.lowlevel.checkpoint()

    answering(monkeypatch, run)

    async def scene(node, group):
        group.start_soon(node.watch.look)

        async def freeze():
            await anyio.sleep(0.1)
            node.world._machine.freeze()
            await anyio.sleep(3.0)
            node.world._machine.thaw()

        group.start_soon(freeze)
        got.append(await passed_on(node))

    node = play(scene)
    assert got == [b"".join(piece.data for piece in PIECES)]
    assert node.granted == 1 and node.roster.doubted == 0


def test_past_the_limit_an_answer_is_cut_and_never_taken_up(monkeypatch):
    async def run(node, piece):
        await anyio.sleep(4.0)

    answering(monkeypatch, run)
    ended = []

    async def scene(node, group):
        async def keep(message):
            await anyio.lowlevel.checkpoint()

        ended.append(await call_module._run(node, Dialect(), resumable(), keep))

    node = play(scene)
    assert ended == [False] and node.granted == 1 and node.vitals["broken"] == 1


@pytest.mark.parametrize("checkpoints", [None, *range(4)])
def test_a_cut_that_strikes_while_the_head_is_sent_cuts_one_answer_and_not_the_server(checkpoints):
    """Hypercorn sends a second head where the first was interrupted, and ends with the error that h11 raises then."""
    answers = []

    async def app(scope, receive, send):
        if scope["path"] == "/cut":
            with anyio.CancelScope() as cut:
                async with anyio.create_task_group() as group:
                    if checkpoints is None:
                        cut.cancel()
                    else:
                        group.start_soon(cancel_later, cut)
                    await call_module._start(SimpleNamespace(stopping=False), send, 200, [])
                    await send({"type": "http.response.body", "body": b"x", "more_body": True})
                    await anyio.sleep_forever()
            raise call_module.Broken("cut")
        await call_module._start(SimpleNamespace(stopping=False), send, 204, [])
        await send({"type": "http.response.body", "body": b""})

    async def cancel_later(cut):
        for _ in range(checkpoints):
            await anyio.lowlevel.checkpoint()
        cut.cancel()

    async def scene(node, group):
        net = node.world._net
        server = SimWorld(net, net.machine("10.0.1.2"), 2)
        group.start_soon(server.serve_http, app, "10.0.1.2:8000", anyio.Event())
        await anyio.sleep(0.01)
        async with httpx.AsyncClient(transport=node.world.http_transport()) as client:
            with pytest.raises(httpx.HTTPError):
                await client.get("http://10.0.1.2:8000/cut")
            answers.append((await client.get("http://10.0.1.2:8000/next")).status_code)

    play(scene)
    assert answers == [204]
