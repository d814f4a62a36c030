"""A planned stop of a control node: what it owns and, where a spare is there, its votes go to others first.

Ownership is handed over like a transfer of leadership: the owner resigns between two commits and asks another member
to stand at once. A node that only restarts, with no spare to take its place, keeps its votes. While it leaves it says
so in its beats; owners then replace it without waiting for its silence.
"""

from typing import TYPE_CHECKING

import anyio

from finchswitch.constants import ACCEPT_WAIT_MS, LEAVE_LOOK_MS, STAND_TRIES
from finchswitch.control.document import part_names
from finchswitch.control.reconfiguration import spares_of
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.logs import prefix
from finchswitch.transport import Message, field

if TYPE_CHECKING:
    from finchswitch.control.control_node import ControlNode

__all__ = ["leave", "show_group", "stand_now"]

_log = prefix("accord")


async def leave(control: "ControlNode", within_ms: float) -> bool:
    """Hand over all that this node owns and its votes; whether that was done in time."""
    control.leaving = True
    control.tempo.kick()
    with anyio.move_on_after(within_ms / 1000) as scope:
        async with anyio.create_task_group() as group:
            for part in part_names():
                group.start_soon(_leave_part, control, part)
    _log.info("Left in time." if not scope.cancelled_caught else "Not all was handed over in time.")
    return not scope.cancelled_caught


async def _leave_part(control: "ControlNode", part: str) -> None:
    while True:
        document = control.store.acceptors[part].document
        if document is None:
            return
        if control.proposers[part].owns():
            if not await _hand_over(control, part) and not _has_spare(control, part):
                return  # nobody can take it: the copy on this disk stays the part's own
        elif not control.store.acceptors[part].votes():
            return
        elif not _has_spare(control, part) or await _is_out(control, part):
            return
        await control.world.sleep(LEAVE_LOOK_MS)


def _has_spare(control: "ControlNode", part: str) -> bool:
    document = control.proposers[part].document if control.proposers[part].owns() else None
    held = document or control.store.acceptors[part].document or {"group": [], "former": []}
    if control.store.store not in held["group"] or held["group"] != held["former"]:
        return True  # a change is under way, or over
    return bool(spares_of(control, held["group"]))


async def _hand_over(control: "ControlNode", part: str) -> bool:
    """Resign as owner and have another member stand; False where no other member is there."""
    proposer = control.proposers[part]
    document = proposer.document
    alive = [each for each in control.control_peers.alive(control.world.now_ms()) if not each.leaving]
    members = [each for each in alive if document is not None and each.store in document["group"]]
    if not members or not await proposer.resign():
        return False
    for member in sorted(members, key=lambda each: (len(each.owns), each.store)):
        try:
            answer = await control.book.ask(member.address, "part.stand", {"part": part}, 2 * ACCEPT_WAIT_MS)
            if answer.get("owns") is True:
                return True
        except FleetError as error:
            _log.info("A member does not take over {}. {}", part, error)
    return True


async def _is_out(control: "ControlNode", part: str) -> bool:
    """Whether the part's owner says that its group, with no change under way, lacks this store."""
    owner, _ = control.owner_of(part, control.world.now_ms())
    member = control.control_peers.by_store.get(owner)
    if member is None:
        return False
    try:
        answer = await control.book.ask(member.address, "part.group", {"part": part}, ACCEPT_WAIT_MS)
        return control.store.store not in [*field(answer, "group", list), *field(answer, "former", list)]
    except FleetError as error:
        _log.info("The owner of {} does not tell its group. {}", part, error)
        return False


async def stand_now(control: "ControlNode", part: str) -> Message:
    """Stand for a part whose owner has resigned in this node's favour."""
    proposer = control.proposers[part]
    for _ in range(STAND_TRIES):
        document = control.store.acceptors[part].document
        if control.leaving or document is None or proposer.owns():
            break
        async with control.replicas.part_turn():
            stood = await proposer.stand(document)
        if stood:
            control.announce(part)
    return {"owns": proposer.owns()}


def show_group(control: "ControlNode", part: str) -> Message:
    """The group of a part that this node owns."""
    document = control.proposers[part].document
    if document is None or not control.proposers[part].owns():
        raise FleetError(ErrorKind.REFUSED, "group", part, "no owner here")
    return {"group": document["group"], "former": document["former"]}
