"""Reconfiguration: the owner of a part replaces members of its group that are gone by spare stores.

A change of a group takes two commits, as in joint consensus. The first names the new group beside the former one, and
from then on a majority of each is needed. The second drops the former group; it is made only once every newcomer has
said that it holds the part and knows of its vote, so that the new group never counts on a store without the document.
Any number of members may be replaced by one change. A change that was interrupted is finished by the next owner.
"""

from typing import TYPE_CHECKING

from finchswitch.constants import ACCEPT_WAIT_MS, CONTROL_SILENT_MS, PREPARE_WAIT_MS
from finchswitch.control.document import Document, succeed
from finchswitch.errors import FleetError
from finchswitch.logs import prefix
from finchswitch.membership.control_peers import ControlPeer

if TYPE_CHECKING:
    from finchswitch.control.control_node import ControlNode

__all__ = ["Reconfigurer", "choose_spare", "spares_of"]

_log = prefix("accord")


def spares_of(control: "ControlNode", group: list[str]) -> list[ControlPeer]:
    """Control nodes that may take a place in a group: alive, of this fleet, outside of the group and staying."""
    return [
        control_peer
        for control_peer in control.control_peers.alive(control.world.now_ms())
        if control_peer.store not in group and control_peer.fleet and not control_peer.leaving
    ]


def choose_spare(part: str, lost_district: str, districts: list[str], spares: list[ControlPeer]) -> ControlPeer:
    """The spare that keeps the group spread over most districts, then one of the lost member's district, then the
    one that holds the newest of the part. ``districts`` are those of the members that remain."""
    return min(
        spares,
        key=lambda spare: (
            districts.count(spare.district),
            spare.district != lost_district,
            -spare.generations.get(part, -1),
            spare.store,
        ),
    )


class Reconfigurer:
    """Changes one part's group while this node owns the part."""

    def __init__(self, control: "ControlNode", part: str) -> None:
        self._control, self._part = control, part
        self._proposer = control.proposers[part]
        self._since: tuple[Document | None, float] = (None, 0.0)  # the document, and when it was first seen here
        self._unfit: dict[str, float] = {}  # stores that did not take a place, and until when they are passed over

    async def step(self) -> None:
        """Take the next step of a change, or begin one where a member is gone and a spare is there."""
        document = self._proposer.document
        if document is None:
            return
        if self._since[0] is not document:
            self._since = (document, self._control.world.now_ms())
        if document["former"] != document["group"]:
            await self._finish(document)
        else:
            await self._replace_gone(document)
            await self._bring_up(document)

    async def _replace_gone(self, document: Document) -> None:
        group = document["group"]
        gone = [store for store in group if self._gone(store, group)]
        changed = self._replaced(group, gone)
        if changed == group:
            return
        for newcomer in set(changed) - set(group):
            if not await self._teach_first(document, newcomer, gone):
                return
        await self._commit(document, changed)
        _log.warning("Group of {} changes from {} to {}.", self._part, ", ".join(group), ", ".join(changed))

    def _gone(self, store: str, group: list[str]) -> bool:
        """Whether a member is to be replaced: leaving, silent for long, or its machine is back with another store."""
        control = self._control
        if store == control.store.store:
            return control.leaving
        now_ms, member = control.world.now_ms(), control.control_peers.by_store.get(store)
        if member is not None and member.leaving:
            return True
        silent_ms = min(control.control_peers.silent_ms(store, now_ms), now_ms - control.started_ms)
        name = store.rpartition("-")[0]
        return silent_ms > control.bounds.replace_after_ms or any(s.name == name for s in spares_of(control, group))

    def _replaced(self, group: list[str], gone: list[str]) -> list[str]:
        """The group with spares in place of those gone, as far as there are spares."""
        control, changed = self._control, list(group)
        now_ms = control.world.now_ms()
        for store in gone:
            fit = [each for each in spares_of(control, [*group, *changed]) if self._unfit.get(each.store, 0) < now_ms]
            if not fit:
                break
            remaining = [control.district_of(each) for each in changed if each not in gone]
            changed[changed.index(store)] = choose_spare(self._part, control.district_of(store), remaining, fit).store
        return sorted(changed)

    async def _teach_first(self, document: Document, newcomer: str, gone: list[str]) -> bool:
        """Have a newcomer keep a snapshot before the change, where it replaces a member that still votes.

        A member that is lost leaves nothing to lose: its successor gets the document with the change itself, which
        spares one write of a slow disk.
        """
        now_ms = self._control.world.now_ms()
        alive = {self._control.store.store, *(each.store for each in self._control.control_peers.alive(now_ms))}
        if not alive & set(gone):
            return True
        body = {"part": self._part, "ballot": self._proposer.ballot, "document": document}
        try:
            await self._control.replicas.vote(newcomer, "vote.learn", body, PREPARE_WAIT_MS)
        except FleetError as error:
            _log.warning("A spare does not learn. {}", error)
            self._unfit[newcomer] = now_ms + self._control.bounds.replace_after_ms
            return False
        return True

    async def _finish(self, document: Document) -> None:
        """Drop the former group once every newcomer holds the part; replace a newcomer that does not take its place."""
        group, now_ms = document["group"], self._control.world.now_ms()
        newcomers = sorted({*group} - {*document["former"]} - {self._control.store.store})
        missing = [store for store in newcomers if not await self._holds(document, store)]
        if self._proposer.document is not document:
            return
        if missing:
            waited_ms = now_ms - self._since[1]
            lost = any(self._gone(store, group) for store in missing)
            if not lost and waited_ms <= self._control.bounds.replace_after_ms:
                return
            self._unfit |= dict.fromkeys(missing, now_ms + self._control.bounds.replace_after_ms)
            group = self._replaced(group, missing)
        await self._commit(document, group)

    async def _bring_up(self, document: Document) -> None:
        """Send the document to members whose beats do not show this owner's ballot: they were away, or never got it."""
        now_ms = self._control.world.now_ms()
        if self._proposer.document is not document or now_ms - self._since[1] < CONTROL_SILENT_MS:
            return
        self._since = (document, now_ms)
        for member in self._control.control_peers.alive(now_ms):
            if member.store in document["group"] and member.promised.get(self._part) != self._proposer.ballot:
                await self._holds(document, member.store)

    async def _holds(self, document: Document, store: str) -> bool:
        """Whether a newcomer knows of its vote under this owner's ballot; it is sent the document where it does not."""
        body = {"part": self._part, "ballot": self._proposer.ballot}
        try:
            answer = await self._control.replicas.vote(store, "vote.check", body, PREPARE_WAIT_MS)
            if answer.get("yes") is not True:
                whole = {**body, "document": document}
                answer = await self._control.replicas.vote(store, "vote.accept", whole, ACCEPT_WAIT_MS)
        except FleetError as error:
            _log.info("A newcomer does not hold {} yet. {}", self._part, error)
            return False
        return answer.get("yes") is True

    async def _commit(self, document: Document, group: list[str]) -> None:
        async with self._control.replicas.part_turn():
            await self._proposer.commit(document, succeed(document, document["body"], None, group))
        self._control.announce(self._part)
