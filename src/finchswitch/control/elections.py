"""Tending the parts: standing for those without an owner, and giving a silent member's place to a spare.

A node stands only if it sees a majority of the part's group. Those it sees have their turns in the part's own order,
so that rivals are rare; a later one stands when those before it did not, since what they hold may differ. A swap
changes one member, and only under a ballot whose owner has already had a document accepted.
"""

import hashlib
from typing import TYPE_CHECKING

from finchswitch.constants import (
    BEAT_MS,
    PREPARE_WAIT_MS,
    SESSION_SILENT_MS,
    STAND_PAUSE_MS,
    STAND_TURN_MS,
)
from finchswitch.control.document import Document, succeed
from finchswitch.control.founding import found_or_join
from finchswitch.control.store import StoreState
from finchswitch.errors import FleetError
from finchswitch.logs import prefix

if TYPE_CHECKING:
    from finchswitch.control.control_node import ControlNode

__all__ = ["tend_node", "tend_part"]

_log = prefix("accord")


def _order(part: str, stores: list[str]) -> list[str]:
    return sorted(stores, key=lambda store: hashlib.sha256(f"{part} {store}".encode()).digest())


async def tend_node(control: "ControlNode") -> None:
    """Age the sessions, found or join a fleet, and see which dark nodes are surely gone."""
    while True:
        now_ms = control.world.now_ms()
        control.sessions.age(now_ms)
        if not control.store.fleet:
            found_or_join(control, now_ms)
        for each in control.sessions.own(now_ms):
            if each["state"] == "dark" and each["ageMs"] > SESSION_SILENT_MS:
                try:
                    await control.book.ask(each["address"], "peer.who", {}, BEAT_MS)
                except FleetError as error:
                    if error.reason == "connection refused":
                        control.sessions.refused(each["name"])
        await control.world.sleep(BEAT_MS / 4)


async def tend_part(control: "ControlNode", part: str) -> None:
    """One part's care, as a loop of its own."""
    proposer, world, owned_ms = control.proposers[part], control.world, control.world.now_ms()
    while True:
        await world.sleep(BEAT_MS / 4)
        document = control.store.acceptors[part].document
        if control.owner_of(part, world.now_ms())[0]:
            owned_ms = world.now_ms()
        if document is None or control.store.state is not StoreState.VOTING:
            continue
        try:
            if proposer.owns():
                await _swap_silent(control, part, world.now_ms())
            elif _should_stand(control, part, document, world.now_ms(), owned_ms):
                if await proposer.stand(document):
                    control.announce(part)
                else:
                    await world.sleep(STAND_PAUSE_MS + world.chance.uniform(0, STAND_PAUSE_MS))
        except FleetError as error:
            proposer.step_down("An error.")
            _log.warning("Tending {} met an error. {}", part, error)


def _should_stand(control: "ControlNode", part: str, document: Document, now_ms: float, owned_ms: float) -> bool:
    if control.owner_of(part, now_ms)[0] or control.store.store not in document["group"]:
        return False
    if control.proposers[part].left_out(control.store.acceptors[part].ballot, document["step"]):
        return False
    seen = {control.store.store, *(control_peer.store for control_peer in control.control_peers.alive(now_ms))}
    here = [store for store in _order(part, document["group"]) if store in seen]
    turn_ms = owned_ms + STAND_TURN_MS * here.index(control.store.store)
    return 2 * len(here) > len(document["group"]) and now_ms >= turn_ms


def _gone(control: "ControlNode", store: str, spares: list[str], now_ms: float) -> bool:
    """Whether a member's place may be given away: silent for long, or its machine is back with another store."""
    after_ms = control.bounds.replace_after_ms
    silent_ms = min(control.control_peers.silent_ms(store, now_ms), now_ms - control.started_ms)
    return silent_ms > after_ms or store.rpartition("-")[0] in spares


async def _swap_silent(control: "ControlNode", part: str, now_ms: float) -> None:
    proposer = control.proposers[part]
    document = proposer.document
    if document is None:
        return
    if document["former"] != document["group"]:  # a swap is over only when the former group is asked no more
        await proposer.commit(document, succeed(document, document["body"], None, document["group"]))
        control.announce(part)
        return
    group, own = document["group"], control.store.store
    spares = [
        control_peer
        for control_peer in control.control_peers.alive(now_ms)
        if control_peer.store not in group and control_peer.fleet
    ]
    silent = [
        s for s in group if s != own and _gone(control, s, [control_peer.name for control_peer in spares], now_ms)
    ]
    if not silent or not spares:
        return
    body = {"part": part, "ballot": proposer.ballot, "document": document}
    spare = control.world.chance.choice(sorted(control_peer.store for control_peer in spares))
    try:
        await control.replicas.vote(spare, "vote.learn", body, PREPARE_WAIT_MS)
    except FleetError as error:
        _log.warning("A spare does not learn. {}", error)
        return
    swapped = [spare if store == silent[0] else store for store in group]
    await proposer.commit(document, succeed(document, document["body"], None, swapped))
    control.announce(part)
    _log.warning("Swapped {} for {} in {}.", silent[0], spare, part)
