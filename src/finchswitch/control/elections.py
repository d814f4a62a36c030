"""Elections: standing for the parts that have no owner; and founding, joining and the care of sessions.

A node stands only if it sees a majority of the part's group. Those it sees have their turns in the part's own order,
so that rivals are rare; a later one stands when those before it did not, since what they hold may differ. A node
that is leaving does not stand.
"""

import hashlib
from typing import TYPE_CHECKING

from finchswitch.constants import (
    BEAT_MS,
    SESSION_SILENT_MS,
    STAND_PAUSE_MOST_MS,
    STAND_PAUSE_MS,
    STAND_TURN_MS,
)
from finchswitch.control.document import Document
from finchswitch.control.founding import found_or_join
from finchswitch.control.reconfiguration import Reconfigurer
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
    reconfigurer, pause_ms = Reconfigurer(control, part), float(STAND_PAUSE_MS)
    while True:
        slept_ms = world.now_ms()
        await world.sleep(BEAT_MS / 4)
        if world.now_ms() - slept_ms > BEAT_MS:  # this node itself was held up, so it first hears what waits for it
            owned_ms = world.now_ms() + BEAT_MS
        document = control.store.acceptors[part].document
        if control.owner_of(part, world.now_ms())[0]:
            owned_ms = world.now_ms()
        if document is None or control.store.state is not StoreState.VOTING:
            continue
        try:
            if proposer.owns():
                await reconfigurer.step()
            elif _should_stand(control, part, document, world.now_ms(), owned_ms):
                async with control.replicas.part_turn():
                    stood = await proposer.stand(document)
                if stood:
                    control.announce(part)
                    pause_ms = float(STAND_PAUSE_MS)
                else:
                    await world.sleep(pause_ms + world.chance.uniform(0, pause_ms))
                    pause_ms = min(2 * pause_ms, STAND_PAUSE_MOST_MS)
        except FleetError as error:
            proposer.step_down("An error.")
            _log.warning("Tending {} met an error. {}", part, error)


def _should_stand(control: "ControlNode", part: str, document: Document, now_ms: float, owned_ms: float) -> bool:
    if control.leaving or control.owner_of(part, now_ms)[0] or control.store.store not in document["group"]:
        return False
    if control.proposers[part].left_out(control.store.acceptors[part].ballot, document["step"]):
        return False
    seen = {control.store.store, *(control_peer.store for control_peer in control.control_peers.alive(now_ms))}
    here = [store for store in _order(part, document["group"]) if store in seen]
    turn_ms = owned_ms + STAND_TURN_MS * here.index(control.store.store)
    return 2 * len(here) > len(document["group"]) and now_ms >= turn_ms
