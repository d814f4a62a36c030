"""A change as the owner of a part takes it: remembered, compared with its base, checked, committed, delivered.

Any control node takes a change and passes it to the owner. The answers are those of the operators' interface:
409 stale, 413 large, 422 invalid, 503 surely not taken, 504 fate unknown, 202 committed but some node has not
confirmed it, 200 in effect everywhere. A sending marked ``again`` follows one without an answer; what became of
that one may be open, so it is never told 503.

Every answer that rests on what the owner holds (409, 422, and 200 or 202 for a change committed before) is given only
after a majority, asked after the change arrived, has said that this owner's ballot is still the highest. Else it
is 503 or 504. Errors of shape and size rest on nothing and are told at once.
"""

import json
from typing import Any

from returns.result import Failure

from finchswitch.configuration import apply_edits
from finchswitch.constants import (
    ACCEPT_WAIT_MS,
    CHANGE_WORDED_MOST_BYTES,
    CONFIGURATION_PART,
    DELIVERY_LOOK_MS,
)
from finchswitch.control.control_node import ControlNode
from finchswitch.control.document import succeed
from finchswitch.control.judgement import MaybeForgotten, Refused, Remembered, judge_change
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.logs import prefix
from finchswitch.transport import Message, field

__all__ = ["confirm_current", "edit_part", "take_change"]

_log = prefix("accord")


_FIELDS = ("changeId", "base", "baseRevision", "configuration", "edits", "passed", "again")


def _answer(status: int, **rest: Any) -> Message:
    return {"status": status, **rest}


async def take_change(control: ControlNode, change: Message) -> Message:
    """Take an operator's change, as owner or through the owner."""
    answer = await _take(control, change)
    if answer["status"] == 503 and change.get("again") is True:
        return _answer(504, reason=f"what became of an earlier sending is unknown; this one: {answer['reason']}")
    return answer


async def _take(control: ControlNode, change: Message) -> Message:
    wrong = _shape(change)
    if wrong:
        return _answer(422, wrong=wrong)
    if len(json.dumps(change)) > CHANGE_WORDED_MOST_BYTES:
        return _answer(413, reason=f"a change may have {CHANGE_WORDED_MOST_BYTES} bytes as the fleet keeps it")
    until_ms = control.world.now_ms() + control.bounds.owner_wait_ms
    while True:
        owner, _ = control.owner_of(CONFIGURATION_PART, control.world.now_ms())
        if owner == control.store.store:
            return await _as_owner(control, change)
        if owner and change.get("passed") is not True:
            address = control.control_peers.by_store[owner].address
            try:
                passed = {**change, "passed": True}
                return await control.book.ask(address, "change", passed, control.bounds.change_wait_ms)
            except FleetError as error:
                _log.info("A change passed on is without answer. {}", error)
                if error.reason == "connection refused":
                    return _answer(503, reason="the owner is gone; surely not taken")
                return _answer(504, reason="the owner did not answer; ask again with the same change id")
        if control.world.now_ms() > until_ms:
            return _answer(503, reason="no owner for the configuration; surely not taken")
        await control.world.sleep(DELIVERY_LOOK_MS)


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


async def _as_owner(control: ControlNode, change: Message) -> Message:
    """Judge and commit a change here; a judgement that is told without a commit is confirmed by a majority first."""
    proposer = control.proposers[CONFIGURATION_PART]
    while (document := await proposer.settled()) is not None:
        judgement = judge_change(document, change, control.configuration_reader)
        if isinstance(judgement, MaybeForgotten):
            return _answer(504, reason="built on so old a base that nobody remembers whether it was taken")
        if isinstance(judgement, Refused):
            if await proposer.check():
                return judgement.answer
            return _answer(503, reason="the owner cannot reach a majority; surely not taken")
        if isinstance(judgement, Remembered):
            if await proposer.check():
                return await _delivered(control, judgement.generation)
            return _answer(504, reason="the owner cannot reach a majority; ask again with the same change id")
        try:
            await proposer.commit(document, judgement.following)
        except FleetError as error:
            _log.warning("Change {} was not committed. {}", change["changeId"], error)
            if error.kind is ErrorKind.REFUSED:
                continue  # another commit came first: judge anew, or find that this node no longer owns
            return _answer(504, reason="fate unknown; ask again with the same change id")
        control.announce(CONFIGURATION_PART)
        generation = judgement.following["generation"]
        _log.info("Generation {} committed by change {}.", generation, change["changeId"])
        return await _delivered(control, generation)
    return _answer(503, reason="the owner fell before the change was proposed; surely not taken")


async def _delivered(control: ControlNode, generation: int) -> Message:
    until_ms = control.world.now_ms() + control.bounds.delivery_wait_ms
    while True:
        now_ms = control.world.now_ms()
        lacking, known = control.sessions.lacking(CONFIGURATION_PART, generation, now_ms)
        if not lacking:
            return _answer(200, generation=generation, nodes=known)
        if now_ms > until_ms:
            return _answer(202, generation=generation, lacking=lacking)
        await control.world.sleep(DELIVERY_LOOK_MS)


async def edit_part(control: ControlNode, body: Message) -> Message:
    """Edit a service's part, if what the guards name still stands so: ledgers, fences, plans."""
    part = field(body, "part", str)
    if part == CONFIGURATION_PART or part not in control.proposers:
        raise FleetError.refused("edit", part, "no such part for ledgers")
    owner, _ = control.owner_of(part, control.world.now_ms())
    if owner != control.store.store:
        if not owner or body.get("passed") is True:
            raise FleetError.refused("edit", part, "no owner here")
        address = control.control_peers.by_store[owner].address
        return await control.book.ask(address, "part.edit", {**body, "passed": True}, ACCEPT_WAIT_MS)
    proposer = control.proposers[part]
    while (document := await proposer.settled()) is not None:
        for guard in field(body, "guards", list):
            held = document["body"].get(guard["kind"], {}).get(guard["name"])
            if held != guard["value"]:
                if await proposer.check():
                    return {"taken": False, "held": held}
                raise FleetError.refused("edit", part, "the owner cannot reach a majority")
        edited = apply_edits(document["body"], field(body, "edits", list))
        if isinstance(edited, Failure):
            raise FleetError.refused("edit", part, "; ".join(edited.failure()))
        try:
            await proposer.commit(document, succeed(document, edited.unwrap(), None, document["group"]))
        except FleetError as error:
            if error.kind is not ErrorKind.REFUSED:
                raise
            continue  # another edit came first: look at the guards again
        control.announce(part)
        return {"taken": True}
    raise FleetError.refused("edit", part, "no owner here, or it has only just stood")


async def confirm_current(control: ControlNode, passed: bool = False) -> Message:
    """The configuration as a majority confirms it to be the newest, or 503 when no owner can say so."""
    owner, _ = control.owner_of(CONFIGURATION_PART, control.world.now_ms())
    proposer = control.proposers[CONFIGURATION_PART]
    if owner and owner != control.store.store and not passed:
        try:
            return await control.book.ask(control.control_peers.by_store[owner].address, "current", {}, ACCEPT_WAIT_MS)
        except FleetError as error:
            return _answer(503, reason=f"the owner cannot be asked: {error}")
    document = proposer.document
    if not proposer.owns() or document is None:
        return _answer(503, reason="no owner for the configuration")
    if not await proposer.check():
        return _answer(503, reason="the owner cannot reach a majority")
    body = {"generation": document["generation"], "current": True, "configuration": document["body"]}
    return _answer(200, **body)
