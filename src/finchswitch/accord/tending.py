"""Tending the parts: standing for those without an owner, and giving a silent member's place to a spare.

A node stands only if it sees a majority of the part's group. Those it sees have their turns in the part's own order,
so that rivals are rare; a later one stands when those before it did not, since what they hold may differ. A swap
changes one member, and only under a ballot whose owner has already had a document accepted.
"""

import hashlib
from typing import TYPE_CHECKING

from finchswitch.accord.document import Document, succeed
from finchswitch.accord.store import StoreState
from finchswitch.constants import (
    BEAT_MS,
    PREPARE_WAIT_MS,
    SESSION_SILENT_MS,
    STAND_PAUSE_MS,
    STAND_TURN_MS,
)
from finchswitch.kinship.kin import Kin
from finchswitch.logs import prefix
from finchswitch.mishap import Mishap

if TYPE_CHECKING:
    from finchswitch.accord.council import Council

__all__ = ["tend_node", "tend_part"]

_log = prefix("accord")


def _order(part: str, stores: list[str]) -> list[str]:
    return sorted(stores, key=lambda store: hashlib.sha256(f"{part} {store}".encode()).digest())


async def tend_node(council: "Council") -> None:
    """Age the sessions, found or join a fleet, and see which dark nodes are surely gone."""
    while True:
        now_ms = council.world.now_ms()
        council.sessions.age(now_ms)
        if not council.store.fleet:
            _found_or_join(council, now_ms)
        for each in council.sessions.own(now_ms):
            if each["state"] == "dark" and each["ageMs"] > SESSION_SILENT_MS:
                try:
                    await council.book.ask(each["address"], "peer.who", {}, BEAT_MS)
                except Mishap as mishap:
                    if mishap.reason == "connection refused":
                        council.sessions.refused(each["name"])
        await council.world.sleep(BEAT_MS / 4)


def _found_or_join(council: "Council", now_ms: float) -> None:
    store, alive = council.store, council.kindred.alive(now_ms)
    try:
        for kin in alive:
            if kin.fleet and store.store in kin.founders:
                return store.found(kin.founders)
            if kin.fleet:
                return store.join(kin.fleet, kin.founders)
        together = sorted({store.store, *(kin.store for kin in alive)})
        if not council.bounds.founds:
            return
        if len(together) == council.group_size and all(sorted(kin.sees) == together for kin in alive):
            store.found(together)
        elif len(together) > council.group_size and council.startup.address == council.startup.seeds[0]:
            store.found(_spread(council, alive))  # too many to agree by sight alone: the first seed decides
    except Mishap as mishap:
        _log.error("Cannot found or join. {}", mishap)


def _spread(council: "Council", alive: list[Kin]) -> list[str]:
    """The founding group: this store, then one of each district in turn, seeds first."""
    seeds, chosen, used = council.startup.seeds, [council.store.store], {council.startup.district: 1}
    rest = sorted(alive, key=lambda kin: (kin.address not in seeds, kin.address))
    while len(chosen) < council.group_size:
        following = min(rest, key=lambda kin: used.get(kin.district, 0))
        rest.remove(following)
        chosen.append(following.store)
        used[following.district] = used.get(following.district, 0) + 1
    return chosen


async def tend_part(council: "Council", part: str) -> None:
    """One part's care, as a loop of its own."""
    register, world, owned_ms = council.registers[part], council.world, council.world.now_ms()
    while True:
        await world.sleep(BEAT_MS / 4)
        document = council.store.acceptors[part].document
        if council.owner_of(part, world.now_ms())[0]:
            owned_ms = world.now_ms()
        if document is None or council.store.state is not StoreState.VOTING:
            continue
        try:
            if register.owns():
                await _swap_silent(council, part, world.now_ms())
            elif _should_stand(council, part, document, world.now_ms(), owned_ms):
                if await register.stand(document):
                    council.announce(part)
                else:
                    await world.sleep(STAND_PAUSE_MS + world.chance.uniform(0, STAND_PAUSE_MS))
        except Mishap as mishap:
            register.step_down("A mishap.")
            _log.warning("Tending {} met a mishap. {}", part, mishap)


def _should_stand(council: "Council", part: str, document: Document, now_ms: float, owned_ms: float) -> bool:
    if council.owner_of(part, now_ms)[0] or council.store.store not in document["group"]:
        return False
    if council.registers[part].left_out(council.store.acceptors[part].ballot, document["step"]):
        return False
    seen = {council.store.store, *(kin.store for kin in council.kindred.alive(now_ms))}
    here = [store for store in _order(part, document["group"]) if store in seen]
    turn_ms = owned_ms + STAND_TURN_MS * here.index(council.store.store)
    return 2 * len(here) > len(document["group"]) and now_ms >= turn_ms


def _gone(council: "Council", store: str, spares: list[str], now_ms: float) -> bool:
    """Whether a member's place may be given away: silent for long, or its machine is back with another store."""
    after_ms = council.bounds.replace_after_ms
    silent_ms = min(council.kindred.silent_ms(store, now_ms), now_ms - council.started_ms)
    return silent_ms > after_ms or store.rpartition("-")[0] in spares


async def _swap_silent(council: "Council", part: str, now_ms: float) -> None:
    register = council.registers[part]
    document = register.document
    if document is None:
        return
    if document["former"] != document["group"]:  # a swap is over only when the former group is asked no more
        await register.commit(document, succeed(document, document["body"], None, document["group"]))
        council.announce(part)
        return
    group, own = document["group"], council.store.store
    spares = [kin for kin in council.kindred.alive(now_ms) if kin.store not in group and kin.fleet]
    silent = [s for s in group if s != own and _gone(council, s, [kin.name for kin in spares], now_ms)]
    if not silent or not spares:
        return
    body = {"part": part, "ballot": register.ballot, "document": document}
    spare = council.world.chance.choice(sorted(kin.store for kin in spares))
    try:
        await council.chamber.vote(spare, "vote.learn", body, PREPARE_WAIT_MS)
    except Mishap as mishap:
        _log.warning("A spare does not learn. {}", mishap)
        return
    swapped = [spare if store == silent[0] else store for store in group]
    await register.commit(document, succeed(document, document["body"], None, swapped))
    council.announce(part)
    _log.warning("Swapped {} for {} in {}.", silent[0], spare, part)
