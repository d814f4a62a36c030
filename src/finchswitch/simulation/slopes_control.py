"""Slopes of a control node: session beats, beats to its peers, a change from its reading to its news, a commit's write.

A configuration here has 24 listed services and so many routes, each with all its fields and its entry as an operator
sent it. One edit changes one route.
"""

import itertools
import json
import tempfile
import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

from finchswitch.configuration import ConfigurationReader, apply_edits, edits_between, read_configuration
from finchswitch.configuration.routes import RouteTable
from finchswitch.constants import CONFIGURATION_PART, ORDER_BLOCKS_MOST, ORDERS_A_BLOCK
from finchswitch.control.control_node import ControlNode
from finchswitch.control.document import digest_of, founding_document, grow, shrink, succeed
from finchswitch.control.orders import find_order, remember
from finchswitch.control.server import answer_session
from finchswitch.distribution import NewsBook
from finchswitch.simulation.disk import SimDisk
from finchswitch.simulation.machine import Machine
from finchswitch.simulation.slopes import Quantities, Subject, timed_us
from finchswitch.simulation.slopes_things import member_rows, startup_of
from finchswitch.storage import RealDisk, VersionedFile
from finchswitch.transport import Asked, Message
from finchswitch.transport.netstring import pack
from finchswitch.transport.real import RealWorld

__all__ = ["configuration_of", "control_subjects", "route_edit"]

_CONTROLS = 9
_SERVICES = 24
_GENERATIONS = {CONFIGURATION_PART: 1700, **{f"part-{at}": 12_345 for at in range(4)}}


def configuration_of(routes: int) -> Message:
    return {
        "services": {f"model-{at:02d}": {"listed": True, "slots": 50} for at in range(_SERVICES)},
        "routes": {f"tenant-{at:05d}": _route(at, 30_000) for at in range(routes)},
        "settings": {"revision": 1},
    }


def _route(at: int, timeout_ms: int) -> Message:
    sent = {"host": f"tenant-{at:05d}.models.example", "path": "/v1/chat/", "timeout": timeout_ms, "attempts": 2}
    targets = {f"model-{at % _SERVICES:02d}": 90, f"model-{(at + 1) % _SERVICES:02d}": 10}
    numbers = {"timeoutMs": timeout_ms, "firstAimMs": 410, "gapAimMs": 36, "mostRunners": 2, "rank": 1}
    return {
        **{"host": sent["host"], "prefix": "/v1/chat/", "targets": targets},
        **{**numbers, "repeat": "never", "origin": [{**sent, "targets": targets, "priority": 1}]},
    }


def route_edit(at: int = 0) -> list[Message]:
    return [{"kind": "routes", "name": f"tenant-{at:05d}", "value": _route(at, 45_000)}]


def _council(name: str) -> ControlNode:
    group = cast(Any, SimpleNamespace(start_soon=lambda *_: None))
    return ControlNode(RealWorld(1), SimDisk(Machine(name, 0.0)), startup_of(name), group)


def _record(row: Message) -> Message:
    return {**row, "incarnation": "0123456789ab", "generations": _GENERATIONS}


def _with_sessions(control: ControlNode, rows: list[Message]) -> None:
    for row in rows:
        control.sessions.beat(row["name"], _record(row), f"{row['address']}0", control.world.now_ms())


async def _session(members: int, effort_ms: float) -> Quantities:
    """One session's beat, at a control node that holds a ninth of the sessions and is told the others."""
    control, rows = _council("accord-1"), member_rows(members)
    _with_sessions(control, rows[::_CONTROLS])
    for other in range(1, _CONTROLS):
        told = [{**_record(row), "ageMs": 100.0, "state": "standing"} for row in rows[other::_CONTROLS]]
        control.sessions.told(f"accord-{other + 1}-0123456789ab", told, control.world.now_ms() + 1e9)
    body = _record(rows[0])
    ask = pack({"format": 1, "kind": "session.beat", "number": 123456, "body": body})
    asked = Asked("session.beat", body, "10.101.0.0:70000", 1, cast(Any, None))

    def exchange() -> bytes:
        json.loads(ask.partition(b":")[2][:-1])
        return pack({"format": 1, "number": 123456, "body": answer_session(control, asked)})

    answer = exchange()
    return {
        "ask_bytes": float(len(ask)),
        "answer_bytes": float(len(answer)),
        "control_us": timed_us(exchange, effort_ms),
        "node_us": timed_us(lambda: json.loads(answer.partition(b":")[2][:-1]), effort_ms),
        "lacking_us": timed_us(
            lambda: control.sessions.lacking(CONFIGURATION_PART, 1700, control.world.now_ms()), effort_ms
        ),
    }


async def _kin(sessions: int, effort_ms: float) -> Quantities:
    """One beat between two control nodes and its answer, both with so many sessions of their own."""
    near, far = _council("accord-1"), _council("accord-2")
    for at, control in enumerate((near, far)):
        _with_sessions(control, member_rows(2 * sessions)[at::2])

    def exchange() -> int:
        ask = pack({"format": 1, "kind": "kin.beat", "number": 123456, "body": near.beat_body()})
        far.hear_control_peer(json.loads(ask.partition(b":")[2][:-1])["body"], "10.101.9.1:7100", None)
        answer = pack({"format": 1, "number": 123456, "body": far.beat_body()})
        near.hear_control_peer(
            json.loads(answer.partition(b":")[2][:-1])["body"], "10.101.9.2:7100", near.world.now_ms()
        )
        return len(ask) + len(answer)

    return {"bytes": float(exchange()), "exchange_us": timed_us(exchange, effort_ms)}


async def _change(routes: int, effort_ms: float) -> Quantities:
    """One edit of one route: what the owner does with it, and what each node does when it comes down the tree."""
    body, edits = configuration_of(routes), route_edit()
    configuration, edited = read_configuration(body).unwrap(), apply_edits(body, edits).unwrap()
    book = NewsBook()
    book.take(CONFIGURATION_PART, 1, body)
    have = book.generations()
    book.take(CONFIGURATION_PART, 2, edited)
    bodies = (body, edited)

    def take() -> None:
        generation = book.generation(CONFIGURATION_PART) + 1
        book.take(CONFIGURATION_PART, generation, bodies[generation % 2])

    told = pack({"news": NewsBook.since(book, have)})
    return {
        "whole_bytes": float(len(pack({"news": book.since({})}))),
        "edit_bytes": float(len(told)),
        "read_whole_us": timed_us(lambda: read_configuration(edited), effort_ms),
        "read_edit_us": timed_us(lambda: read_configuration(edited, (body, configuration)), effort_ms),
        "apply_us": timed_us(lambda: apply_edits(body, edits), effort_ms),
        "between_us": timed_us(lambda: edits_between(body, edited), effort_ms),
        "take_us": timed_us(take, effort_ms),
        "table_us": timed_us(lambda: RouteTable(configuration), effort_ms),
        "digest_us": timed_us(lambda: digest_of([1, None, edits]), effort_ms),
    }


async def _commit(routes: int, effort_ms: float) -> Quantities:
    """One edit of one route: the parts of its commit, at the owner and at each store; on this machine's own disk.

    Each act is done with one of two successors in turn, so that the edited entry is always a new one.
    """
    base, following = _documents(routes)
    ballot = [7, "accord-1-0123456789ab"]
    turns = itertools.cycle(following)
    deltas = itertools.cycle([shrink(base, document) for document in following])
    reader = ConfigurationReader()
    with tempfile.TemporaryDirectory() as folder:
        versions = VersionedFile(RealDisk(Path(folder)), "creed")

        def put() -> None:
            versions.put({"promised": ballot, "ballot": ballot, "document": next(turns)})

        put_us = timed_us(put, effort_ms)
        began_s = time.monotonic()
        put()
        wall_us = (time.monotonic() - began_s) * 1e6
        written = max(each.stat().st_size for each in (Path(folder) / "creed").iterdir())
    found = {
        "check_us": timed_us(lambda: reader.read(next(turns)["body"]), effort_ms),
        "succeed_us": timed_us(
            lambda: succeed(base, next(turns)["body"], ["change-1", "0" * 16, 9_000], base["group"]), effort_ms
        ),
        "shrink_us": timed_us(lambda: shrink(base, next(turns)), effort_ms),
        "grow_us": timed_us(lambda: grow(base, next(deltas)), effort_ms),
        "find_order_us": timed_us(lambda: find_order(base, "never taken", "0" * 16), effort_ms),
        "put_us": put_us,
    }
    sizes = {"written_bytes": float(written), "vote_bytes": float(len(pack({"delta": next(deltas)})))}
    return {**sizes, **found, "wall_us": wall_us, "all_parts_us": sum(found.values())}


def _documents(routes: int) -> tuple[Message, list[Message]]:
    """A document that remembers all the orders that it may, and two that may follow it."""
    group = ["a", "b", "c"]
    base = {**founding_document("0123456789abcdef", CONFIGURATION_PART, group), "body": configuration_of(routes)}
    for at in range(ORDERS_A_BLOCK * ORDER_BLOCKS_MOST):
        base["orders"] = remember(base, f"change-{at:08d}", "0123456789abcdef", at, 1)
    bodies = [apply_edits(base["body"], route_edit(at)).unwrap() for at in (0, 1)]
    return base, [succeed(base, body, ["change-1", "0123456789abcdef", 9_000], group) for body in bodies]


def control_subjects() -> list[Subject]:
    routes = (100, 400, 1_600, 3_200)
    return [
        Subject("session beat", "members", (20, 80, 160, 320), _session),
        Subject("kin beat", "own sessions of each", (0, 20, 40, 80), _kin),
        Subject("one edit", "routes in the configuration", routes, _change),
        Subject("commit", "routes in the document", (400, 4_000), _commit),
    ]
