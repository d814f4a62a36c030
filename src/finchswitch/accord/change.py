"""A change as the owner of a part takes it: remembered, compared with its base, checked, committed, delivered.

Any control node takes a change and passes it to the owner. The answers are those of the operators' interface:
409 stale, 413 large, 422 invalid, 503 surely not taken, 504 fate unknown, 202 committed but some node has not
confirmed it, 200 in effect everywhere. A sending marked ``again`` follows one without an answer; what became of
that one may be open, so it is never told 503.
"""

import json
from typing import Any

from returns.result import Failure

from finchswitch.accord.council import Council
from finchswitch.accord.document import Document, digest_of, succeed
from finchswitch.constants import (
    ACCEPT_WAIT_MS,
    CHANGE_WAIT_MS,
    CHANGE_WORDED_MOST_BYTES,
    CREED_PART,
    DELIVERY_LOOK_MS,
    OWNER_WAIT_MS,
)
from finchswitch.creed import apply_edits, read_creed
from finchswitch.logs import prefix
from finchswitch.mishap import Mishap, MishapKind
from finchswitch.wire import Message, field

__all__ = ["confirm_current", "edit_part", "take_change"]

_log = prefix("accord")


_FIELDS = ("changeId", "base", "baseRevision", "configuration", "edits", "passed", "again")


def _answer(status: int, **rest: Any) -> Message:
    return {"status": status, **rest}


async def take_change(council: Council, change: Message) -> Message:
    """Take an operator's change, as owner or through the owner."""
    answer = await _take(council, change)
    if answer["status"] == 503 and change.get("again") is True:
        return _answer(504, reason=f"what became of an earlier sending is unknown; this one: {answer['reason']}")
    return answer


async def _take(council: Council, change: Message) -> Message:
    wrong = _shape(change)
    if wrong:
        return _answer(422, wrong=wrong)
    if len(json.dumps(change)) > CHANGE_WORDED_MOST_BYTES:
        return _answer(413, reason=f"a change may have {CHANGE_WORDED_MOST_BYTES} bytes as the fleet keeps it")
    until_ms = council.world.now_ms() + OWNER_WAIT_MS
    while True:
        owner, _ = council.owner_of(CREED_PART, council.world.now_ms())
        if owner == council.store.store:
            return await _as_owner(council, change)
        if owner and change.get("passed") is not True:
            address = council.kindred.by_store[owner].address
            try:
                return await council.book.ask(address, "change", {**change, "passed": True}, CHANGE_WAIT_MS)
            except Mishap as mishap:
                _log.info("A change passed on is without answer. {}", mishap)
                if mishap.reason == "connection refused":
                    return _answer(503, reason="the owner is gone; surely not taken")
                return _answer(504, reason="the owner did not answer; ask again with the same change id")
        if council.world.now_ms() > until_ms:
            return _answer(503, reason="no owner for the configuration; surely not taken")
        await council.world.sleep(DELIVERY_LOOK_MS)


def _shape(change: Message) -> list[str]:
    wrong = []
    identity = change.get("changeId")
    if not isinstance(identity, str) or not 1 <= len(identity) <= 128:
        wrong.append("changeId: a string of 1 to 128 characters is needed")
    if ("base" in change) == ("baseRevision" in change):
        wrong.append("base, baseRevision: exactly one of them is needed")
    for name, what in (("base", "a generation"), ("baseRevision", "the operator's number of a configuration")):
        base = change.get(name, 0)
        if not isinstance(base, int) or isinstance(base, bool) or base < 0:
            wrong.append(f"{name}: {what} is needed")
    if not isinstance(change.get("again", False), bool):
        wrong.append("again: true or false is needed")
    if ("configuration" in change) == ("edits" in change):
        wrong.append("configuration, edits: exactly one of them is needed")
    for name in sorted(set(change) - {*_FIELDS}):
        wrong.append(f"{name}: no such field")
    return wrong


async def _as_owner(council: Council, change: Message) -> Message:
    register = council.registers[CREED_PART]
    digest = digest_of([*_base(change), change.get("configuration"), change.get("edits")])
    while register.owns() and register.document is not None:
        document = register.document
        for identity, known, generation in document["recent"]:
            if identity == change["changeId"]:
                if known != digest:
                    return _answer(422, wrong=["changeId: used before for another change"])
                return await _delivered(council, generation)
        held = document["body"].get("settings", {}).get("revision", 0)
        if change.get("base", document["generation"]) != document["generation"]:
            return _answer(409, generation=document["generation"], reason="built on another generation")
        if change.get("baseRevision", held) != held:
            return _answer(409, generation=document["generation"], revision=held, reason="built on another revision")
        edited = _edited(document, change)
        if isinstance(edited, list):
            return _answer(422, wrong=edited)
        checked = read_creed(edited)
        if isinstance(checked, Failure):
            return _answer(422, wrong=checked.failure())
        revision = checked.unwrap().settings.revision
        if revision <= held if "baseRevision" in change else revision < held:
            return _answer(422, wrong=[f"settings.revision: {revision} is not above {held}"])
        recent = [change["changeId"], digest, document["generation"] + 1]
        try:
            await register.commit(document, succeed(document, edited, recent, document["group"]))
        except Mishap as mishap:
            _log.warning("Change {} was not committed. {}", change["changeId"], mishap)
            if mishap.kind is MishapKind.REFUSED:
                continue  # another commit came first: judge anew, or find that this node no longer owns
            return _answer(504, reason="fate unknown; ask again with the same change id")
        council.announce(CREED_PART)
        _log.info("Generation {} committed by change {}.", recent[2], change["changeId"])
        return await _delivered(council, recent[2])
    return _answer(503, reason="the owner fell before the change was proposed; surely not taken")


def _base(change: Message) -> list[int]:
    return [change["base"]] if "base" in change else [-1, change["baseRevision"]]


def _edited(document: Document, change: Message) -> Message | list[str]:
    if "configuration" in change:
        whole = change["configuration"]
        return whole if isinstance(whole, dict) else ["configuration: not an object"]
    edited = apply_edits(document["body"], change["edits"])
    return edited.failure() if isinstance(edited, Failure) else edited.unwrap()


async def _delivered(council: Council, generation: int) -> Message:
    until_ms = council.world.now_ms() + council.bounds.delivery_wait_ms
    while True:
        now_ms = council.world.now_ms()
        lacking, known = council.sessions.lacking(CREED_PART, generation, now_ms)
        if not lacking:
            return _answer(200, generation=generation, nodes=known)
        if now_ms > until_ms:
            return _answer(202, generation=generation, lacking=lacking)
        await council.world.sleep(DELIVERY_LOOK_MS)


async def edit_part(council: Council, body: Message) -> Message:
    """Edit a service's part, if what the guards name still stands so: ledgers, fences, plans."""
    part = field(body, "part", str)
    if part == CREED_PART or part not in council.registers:
        raise Mishap.refused("edit", part, "no such part for ledgers")
    owner, _ = council.owner_of(part, council.world.now_ms())
    if owner != council.store.store:
        if not owner or body.get("passed") is True:
            raise Mishap.refused("edit", part, "no owner here")
        address = council.kindred.by_store[owner].address
        return await council.book.ask(address, "part.edit", {**body, "passed": True}, ACCEPT_WAIT_MS)
    register = council.registers[part]
    while (document := register.document) is not None and register.owns():
        for guard in field(body, "guards", list):
            held = document["body"].get(guard["kind"], {}).get(guard["name"])
            if held != guard["value"]:
                return {"taken": False, "held": held}
        edited = apply_edits(document["body"], field(body, "edits", list))
        if isinstance(edited, Failure):
            raise Mishap.refused("edit", part, "; ".join(edited.failure()))
        try:
            await register.commit(document, succeed(document, edited.unwrap(), None, document["group"]))
        except Mishap as mishap:
            if mishap.kind is not MishapKind.REFUSED:
                raise
            continue  # another edit came first: look at the guards again
        council.announce(part)
        return {"taken": True}
    raise Mishap.refused("edit", part, "no owner here, or it has only just stood")


async def confirm_current(council: Council, passed: bool = False) -> Message:
    """The configuration as a majority confirms it to be the newest, or 503 when no owner can say so."""
    owner, _ = council.owner_of(CREED_PART, council.world.now_ms())
    register = council.registers[CREED_PART]
    if owner and owner != council.store.store and not passed:
        try:
            return await council.book.ask(council.kindred.by_store[owner].address, "current", {}, ACCEPT_WAIT_MS)
        except Mishap as mishap:
            return _answer(503, reason=f"the owner cannot be asked: {mishap}")
    document = register.document
    if not register.owns() or document is None:
        return _answer(503, reason="no owner for the configuration")
    if not await register.check():
        return _answer(503, reason="the owner cannot reach a majority")
    body = {"generation": document["generation"], "current": True, "configuration": document["body"]}
    return _answer(200, **body)
