"""Reconfiguration: the owner of a part replaces members of its group by spare stores, which are control nodes without
a vote in it: members that are gone, and members that crowd one failure domain while an emptier one has a spare.

A change of a group takes two commits, as in joint consensus. The first names the new group beside the former one, and
from then on a majority of each is needed. The second drops the former group; it is made only once every newcomer has
said that it holds the part and knows of its vote, so that the new group never counts on a store without the document.
Any number of members may be replaced by one change. A change that was interrupted is finished by the next owner.
"""

from typing import TYPE_CHECKING

from finchswitch.constants import ACCEPT_WAIT_MS, CONTROL_SILENT_MS, PREPARE_WAIT_MS
from finchswitch.control.document import Document, succeed
from finchswitch.control.placement import choose_crowded, choose_spare
from finchswitch.errors import FleetError
from finchswitch.logs import prefix
from finchswitch.membership.control_peers import ControlPeer

if TYPE_CHECKING:
    from finchswitch.control.control_node import ControlNode

__all__ = ["Reconfigurer", "spares_of"]

_log = prefix("accord")


def spares_of(control: "ControlNode", group: list[str]) -> list[ControlPeer]:
    """Control nodes that may take a place in a group: alive, of this fleet, outside of the group and staying."""
    return [
        control_peer
        for control_peer in control.control_peers.alive(control.world.now_ms())
        if control_peer.store not in group and control_peer.fleet and not control_peer.leaving
    ]


class Reconfigurer:
    """Changes one part's group while this node owns the part."""

    def __init__(self, control: "ControlNode", part: str) -> None:
        self._control, self._part = control, part
        self._proposer = control.proposers[part]
        self._since: tuple[Document | None, float] = (None, 0.0)  # the document, and when it was first seen here
        self._unfit: dict[str, float] = {}  # stores that did not take a place, and until when they are passed over

    async def step(self) -> None:
        """Take the next step of a change, or begin one where a spare should take a member's place."""
        document = self._proposer.document
        if document is None:
            return
        if self._since[0] is not document:
            self._since = (document, self._control.world.now_ms())
        if document["former"] != document["group"]:
            await self._finish(document)
        else:
            group = document["group"]
            gone = [store for store in group if self._gone(store, group)]
            if gone:
                await self._replace(document, gone, "members are gone")
            else:
                await self._replace(document, self._crowded(group), "members crowd a zone or region")
            await self._bring_up(document)

    async def _replace(self, document: Document, replaced: list[str], reason: str) -> None:
        """Begin a change that gives the places of these members to spares, as far as there are spares."""
        group = document["group"]
        changed = self._replaced(group, replaced)
        if changed == group:
            return
        for newcomer in set(changed) - set(group):
            if not await self._teach_first(document, newcomer, replaced):
                return
        await self._commit(document, changed)
        names = (self._part, ", ".join(group), ", ".join(changed))
        _log.warning("Group of {} changes from {} to {}: {}.", *names, reason)

    def _crowded(self, group: list[str]) -> list[str]:
        """Members whose places spares of emptier failure domains should have; none while a member is not in sight."""
        control = self._control
        if not {*group} <= {control.store.store, *(each.store for each in self._alive())}:
            return []
        domains = {store: control.failure_domain_of(store) for store in group}
        return choose_crowded(domains, [each.failure_domain for each in self._fit(group)], staying=control.store.store)

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

    def _replaced(self, group: list[str], replaced: list[str]) -> list[str]:
        """The group with spares in place of these members, as far as there are spares."""
        control, changed = self._control, list(group)
        for store in replaced:
            fit = self._fit([*group, *changed])
            if not fit:
                break
            domain = control.failure_domain_of(store)
            remaining = [control.failure_domain_of(each) for each in changed if each not in replaced]
            changed[changed.index(store)] = choose_spare(self._part, domain, remaining, fit).store
        return sorted(changed)

    def _fit(self, group: list[str]) -> list[ControlPeer]:
        """Spares that may take a place now: those that lately failed to are passed over for a while."""
        now_ms = self._control.world.now_ms()
        return [each for each in spares_of(self._control, group) if self._unfit.get(each.store, 0) < now_ms]

    def _alive(self) -> list[ControlPeer]:
        return self._control.control_peers.alive(self._control.world.now_ms())

    async def _teach_first(self, document: Document, newcomer: str, replaced: list[str]) -> bool:
        """Have a newcomer keep a snapshot before the change, where it replaces a member that still votes.

        A member that is lost leaves nothing to lose: its successor gets the document with the change itself, which
        spares one write of a slow disk.
        """
        now_ms = self._control.world.now_ms()
        alive = {self._control.store.store, *(each.store for each in self._alive())}
        if not alive & set(replaced):
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
        for member in self._alive():
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
