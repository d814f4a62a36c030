"""Slopes of a routing node: beats among peers, a draw, the computed tree and duties, an ask on a real socket.

A beat is measured whole, as both nodes pay it in turn: each asks one and answers one for each peer. Openings are so
large that peers are told of them. What hearing one answer costs is measured by the number of peers too, since all
that was heard is put together anew each time.
"""

import json
import socket
from collections.abc import Callable
from typing import Any

import anyio

from finchswitch.constants import CONFIGURATION_PART, TOLD_MOST
from finchswitch.distribution import parent_of
from finchswitch.membership.word import check_beat
from finchswitch.router.dialect import Call
from finchswitch.router.duties import holder_of
from finchswitch.router.node import Node
from finchswitch.router.platform import Listed
from finchswitch.router.seat import Seat
from finchswitch.simulation.slopes import Quantities, Subject, timed_awaited_us, timed_us
from finchswitch.simulation.slopes_things import SERVICE, make_node, member_rows, opening_of_size, rows_of
from finchswitch.transport import GONE, Book, Message, serve_asks, settle
from finchswitch.transport.netstring import pack
from finchswitch.transport.real import RealWorld

__all__ = ["fill_node", "node_subjects"]

_COUNTED = 32  # openings of one service; a few calls a minute each, forgotten after some 18 halvings


def _with_runners(node: Node, count: int) -> None:
    for row in rows_of(count):
        node.burdens.take(row, row.incarnation, 100.0, 0.1, node.world.now_ms())
        node.burdens.begun(row, row.incarnation, node.world.now_ms())


def _with_waiting(node: Node, count: int) -> None:
    for at in range(count):
        node.burdens.take(at, rows_of(1 + at % 10)[-1].incarnation, 100.0, 0.1, node.world.now_ms())


def _with_openings(node: Node, count: int) -> None:
    rows = rows_of(1 + count // TOLD_MOST)
    for at in range(count):
        node.beliefs.granted(rows[at // TOLD_MOST].incarnation, opening_of_size(at))


def _with_services(node: Node, count: int) -> None:
    """Each with what a node counts of one service of many before it has decayed."""
    for at in range(count):
        popularity = node.crowds.popularity(f"model-{at:02d}")
        for counted in range(_COUNTED):
            popularity.count(f"{counted:020x}", 10.0, node.world.now_ms())


def fill_node(node: Node) -> None:
    """With what a node at the users' size tells: see ``docs/CAPACITY.md``."""
    _with_runners(node, 100)
    _with_openings(node, 86)
    _with_services(node, 24)


def _frame(body: Message, kind: str = "") -> bytes:
    named = {"kind": kind} if kind else {}
    return pack({"format": 1, "number": 123456, **named, "body": body})


def _read(frame: bytes) -> Message:
    body: Message = json.loads(frame.partition(b":")[2][:-1])["body"]
    return body


def _beat(fill: Callable[[Node, int], None]) -> Callable[[int, float], Any]:
    async def measure(size: int, effort_ms: float) -> Quantities:
        asker, answerer = make_node("transit-001"), make_node("transit-002")
        for node in (asker, answerer):
            fill(node, size)

        def exchange() -> int:
            ask = _frame(asker.member.word(asker.word), "peer.beat")
            body = _read(ask)
            answerer.member.meet_peer(body)
            answerer.roster.hear_leaving(body["leaving"])
            answer = _frame({**answerer.member.word(answerer.word), "list": answerer.roster.spoken(body)})
            heard = _read(answer)
            asker.member.hear_peer(heard, asker.world.now_ms())
            asker.word.hear(heard, asker.world.now_ms())
            return len(ask) + len(answer)

        word = _frame(asker.member.word(asker.word), "peer.beat")
        quantities = {"bytes": float(exchange()), "exchange_us": timed_us(exchange, effort_ms)}
        quantities["word_us"] = timed_us(lambda: asker.member.word(asker.word), effort_ms)
        quantities["check_us"] = timed_us(lambda: check_beat(_read(word)), effort_ms)
        return quantities

    return measure


def _little(node: Node) -> None:
    _with_runners(node, 10)
    _with_openings(node, TOLD_MOST)


def _hear(fill: Callable[[Node], None]) -> Callable[[int, float], Any]:
    """One answer heard among so many peers, each of which tells the same."""

    async def measure(peers: int, effort_ms: float) -> Quantities:
        node, other = make_node("transit-001"), make_node("transit-002")
        fill(other)
        word = {**other.member.word(other.word), "list": []}
        for at in range(peers):
            node.member.hear_peer({**word, "name": f"transit-{at:03d}"}, node.world.now_ms())

        def hear() -> None:
            now_ms = node.world.now_ms()
            for name in node.member.heard_ms:
                node.member.heard_ms[name] = now_ms
            node.word.hear(word, now_ms)

        return {"hear_us": timed_us(hear, effort_ms), "wants_us": timed_us(node.member.wants, effort_ms)}

    return measure


async def _draw(runners: int, effort_ms: float) -> Quantities:
    """One service with so many runners, of 940 listed; its openings go to their homes, or are hot."""
    node, rows = make_node("transit-001"), rows_of(940)
    other = "model-01"
    listed = [row if at < runners else Listed(**{**vars(row), "service": other}) for at, row in enumerate(rows)]
    node.roster.take(listed)
    node.roster.hear_peer({"leaving": [], "listAgeMs": 0.0, "name": "transit-002"}, node.world.now_ms())
    node.news.take(CONFIGURATION_PART, 1, {"services": {SERVICE: {"listed": True}, other: {"listed": True}}})
    call = Call("fs-1", SERVICE, False, opening_of_size(7), b"")
    granted = node.grant(call, set(), node.world.now_ms())
    assert isinstance(granted, tuple), granted
    return {
        "grant_us": timed_us(lambda: node.grant(call, set(), node.world.now_ms()), effort_ms),
        "up_us": timed_us(node.roster.up, effort_ms),
    }


async def _tree(members: int, effort_ms: float) -> Quantities:
    rows = member_rows(members)
    names = [each["name"] for each in rows]
    return {
        "parent_us": timed_us(lambda: parent_of(names[-1], rows), effort_ms),
        "holder_us": timed_us(lambda: holder_of("vitals/runner-0007", names), effort_ms),
    }


async def _list_rows(rows: int, effort_ms: float) -> Quantities:
    """The list told to a peer that shows another one, and taken there."""
    node, listed = make_node("transit-001"), rows_of(rows)
    node.roster.take(listed)
    frame = _frame({"list": [list(vars(each).values()) for each in listed]})
    return {
        "bytes": float(len(frame)),
        "read_us": timed_us(lambda: [Listed(*row) for row in _read(frame)["list"]], effort_ms),
        "take_us": timed_us(lambda: node.roster.take(listed), effort_ms),
    }


async def _seats(waiting: int, effort_ms: float) -> Quantities:
    """A seat taken, begun and freed at a runner where so many others wait."""
    node = make_node("transit-001")
    node.roster.take(rows_of(1))
    node.roster.hear_peer({"leaving": [], "listAgeMs": 0.0, "name": "transit-002"}, node.world.now_ms())
    node.news.take(CONFIGURATION_PART, 1, {"services": {SERVICE: {"listed": True}}})
    call = Call("fs-1", SERVICE, False, opening_of_size(7), b"", due_ms=1e12)
    for at in range(waiting):
        node.burdens.take(at, rows_of(1)[0].incarnation, 100.0, 0.001, node.world.now_ms())

    def sit() -> None:
        granted = node.grant(call, set(), node.world.now_ms())
        assert isinstance(granted, tuple), granted
        seat = Seat(node.world, granted[0], node.burdens, node.beliefs)
        seat.begun("w1")
        seat.free()

    return {"seat_us": timed_us(sit, effort_ms)}


async def _ask(size: int, effort_ms: float) -> Quantities:
    """An ask with a body of so many bytes and the same back, both ends in this process, over a loopback socket."""
    world, body = RealWorld(1), {"text": "x" * size}
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"

    async def echo(told: Message) -> Message:
        return told

    async def answer(inbox: Any) -> None:
        async for asked in inbox:
            if asked.kind != GONE:
                await settle(asked, echo(asked.body), None)

    async with anyio.create_task_group() as group, serve_asks(world, address, group) as inbox:
        group.start_soon(answer, inbox)
        book = Book(world, group)
        await book.ask(address, "hello", body, 10_000)
        ask_us = await timed_awaited_us(lambda: book.ask(address, "hello", body, 10_000), effort_ms)
        group.cancel_scope.cancel()
    return {"ask_us": ask_us}


def node_subjects() -> list[Subject]:
    few, many = (0, 10, 40, 160), (40, 160, 320, 640)
    return [
        Subject("peer beat, runners", "runners in use by the node", few, _beat(_with_runners)),
        Subject("peer beat, waiting", "seats that wait for a first token", few, _beat(_with_waiting)),
        Subject("peer beat, openings", "large openings believed held", few, _beat(_with_openings)),
        Subject("peer beat, services", "services called", (0, 4, 12, 24), _beat(_with_services)),
        Subject("answer heard, little", "peers with 10 runners and 16 openings", (10, 40, 80, 160), _hear(_little)),
        Subject(
            "answer heard, full", "peers that tell what one of 320 nodes does", (10, 40, 80, 160), _hear(fill_node)
        ),
        Subject("grant", "runners of the service, of 940", (10, 40, 160, 640), _draw),
        Subject("seat", "others that wait at the runner", few, _seats),
        Subject("tree and duty", "members", many, _tree),
        Subject("list told", "rows", (60, 240, 470, 940), _list_rows),
        Subject("ask and answer", "bytes of each body", (0, 1_000, 10_000, 40_000), _ask),
    ]
