"""Slopes of memory: what one more of each kept thing takes, as traced by the interpreter's own allocator.

Tracing counts Python's objects, not the interpreter itself, its modules or what C libraries keep for themselves.
"""

import gc
import json
import tracemalloc
from collections.abc import Callable
from typing import Any

from finchswitch.affinity import Beliefs, Popularity
from finchswitch.configuration import read_configuration
from finchswitch.configuration.routes import RouteTable
from finchswitch.membership.sessions import Sessions
from finchswitch.router.dialect import Call
from finchswitch.router.proof import Ticket
from finchswitch.router.sent import Sent
from finchswitch.simulation.slopes import Quantities, Subject
from finchswitch.simulation.slopes_control import configuration_of
from finchswitch.simulation.slopes_nodes import fill_node
from finchswitch.simulation.slopes_things import make_node, member_rows, opening_of_size, rows_of

__all__ = ["memory_subjects"]

Keep = Callable[[int], Any]


def _kept(keep: Keep) -> Callable[[int, float], Any]:
    async def measure(size: int, effort_ms: float) -> Quantities:
        keep(1)  # what is made once for all
        gc.collect()
        tracemalloc.start()
        held = keep(size)
        gc.collect()
        taken_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        del held
        return {"kept_bytes": float(taken_bytes)}

    return measure


def _beliefs(count: int) -> Any:
    beliefs, rows = Beliefs(), rows_of(64)
    for at in range(count):
        beliefs.sent(rows[at % 64].incarnation, f"{at:020x}", float(at), 500 + at, 1_000_000_000)
    return beliefs


def _counts(count: int) -> Any:
    popularity = Popularity()
    for at in range(count):
        popularity.count(f"{at:020x}", float(at), 0.0)
    return popularity


def _sent(count: int) -> Any:
    sent = Sent()
    for at in range(count):
        sent.note(f"fs-{at:024x}", False, float(at) / 1000)
    return sent


def _routes(count: int) -> Any:
    body = json.loads(json.dumps(configuration_of(count)))
    configuration = read_configuration(body).unwrap()
    return body, configuration, RouteTable(configuration)


def _members(count: int) -> Any:
    return json.loads(json.dumps(member_rows(count)))


def _runners(count: int) -> Any:
    node = make_node("transit-001")
    node.roster.take(rows_of(count))
    return node


def _peers(count: int) -> Any:
    """Peers' last words, each with 10 runners in use."""
    node, other = make_node("transit-001"), make_node("transit-002")
    for row in rows_of(10):
        other.burdens.take(row, row.incarnation, 100.0, 0.1, other.world.now_ms())
    word = json.dumps({**other.member.word(other.word), "list": []})
    for at in range(count):
        node.member.hear_peer({**json.loads(word), "name": f"transit-{at:03d}"}, node.world.now_ms())
    return node


def _full_peers(count: int) -> Any:
    """Peers' last words, each with what a node at the users' size tells."""
    node, other = make_node("transit-001"), make_node("transit-002")
    fill_node(other)
    word = json.dumps({**other.member.word(other.word), "list": []})
    for at in range(count):
        node.member.hear_peer({**json.loads(word), "name": f"transit-{at:03d}"}, node.world.now_ms())
    return node


def _sessions(count: int) -> Any:
    sessions, generations = Sessions(), {"creed": 1700, **{f"part-{at}": 12_345 for at in range(4)}}
    for row in member_rows(count):
        beat = json.loads(json.dumps({**row, "incarnation": "0123456789ab", "generations": generations}))
        sessions.beat(row["name"], beat, row["address"], 0.0)
    return sessions


def _calls(count: int) -> Any:
    """What the planes keep of calls under way with 2,000 bytes each; connections and tasks are not counted."""
    node, seats = make_node("transit-001"), []
    for at in range(count):
        opening = opening_of_size(at)
        call = Call(f"fs-{at:024x}", opening.service, False, opening, bytes(2_000))
        row = rows_of(1)[0]
        seat = object()
        node.burdens.take(seat, row.incarnation, 100.0, 0.1, 0.0)
        node.beliefs.granted(row.incarnation, opening)
        node.underway.add(call.request_id)
        seats.append((call, seat, Ticket(call.request_id, False, call.service, opening.digest, row.runner)))
    return node, seats


def memory_subjects() -> list[Subject]:
    many, few = (1_000, 4_000, 16_000), (40, 160, 320)
    return [
        Subject("memory, belief", "beliefs", many, _kept(_beliefs)),
        Subject("memory, count", "openings counted", (64, 128, 256, 512), _kept(_counts)),
        Subject("memory, sent id", "ids remembered", many, _kept(_sent)),
        Subject("memory, route", "routes", (100, 400, 1_600), _kept(_routes)),
        Subject("memory, runner", "runners listed", (60, 240, 940), _kept(_runners)),
        Subject("memory, member", "members", few, _kept(_members)),
        Subject("memory, peer", "peers heard", few, _kept(_peers)),
        Subject("memory, full peer", "peers that tell what one of 320 nodes does", few, _kept(_full_peers)),
        Subject("memory, session", "sessions at a control node", few, _kept(_sessions)),
        Subject("memory, call", "calls under way", (10, 40, 160), _kept(_calls)),
    ]
