"""The replicas: how a proposer's asks reach every acceptor, and how this node's acceptors answer.

An ask names the fleet and the store that it means, so that a store which took a lost one's place at the same
address is never mistaken for it.
"""

from typing import Any

import anyio
from anyio.abc import TaskGroup

from finchswitch.control.acceptor import read_ballot
from finchswitch.control.document import Document
from finchswitch.control.store import Store
from finchswitch.errors import FleetError
from finchswitch.logs import prefix
from finchswitch.membership.control_peers import ControlPeers
from finchswitch.transport import Book, Message, field, reading

__all__ = ["Replicas", "Committed"]

_log = prefix("accord")
Committed = tuple[str, Document]


def _check(kind: str, answer: Message) -> None:
    """The shape that a proposer relies on."""
    if kind == "vote.commit":
        return
    read_ballot(answer["promised"])
    field(answer, "yes", bool)
    if kind == "vote.accept":
        field(answer, "lacks", bool)
    elif kind == "vote.prepare":
        read_ballot(answer["ballot"])
        document = field(answer, "document", dict)
        for name, shape in (("step", int), ("generation", int), ("group", list), ("former", list), ("body", dict)):
            field(document, name, shape)


class Replicas:
    def __init__(self, store: Store, control_peers: ControlPeers, book: Book, group: TaskGroup) -> None:
        self._store, self._kindred, self._book, self._group = store, control_peers, book, group

    async def vote(self, store: str, kind: str, body: Message, wait_ms: float) -> Message:
        body = {**body, "fleet": self._store.fleet, "store": store}
        if store == self._store.store:
            return self.answer(kind, body)
        control_peer = self._kindred.by_store.get(store)
        if control_peer is None:
            raise FleetError.silent(kind, store, "its address is not known")
        return await self._book.ask(control_peer.address, kind, body, wait_ms)

    def later(self, store: str, kind: str, body: Message, wait_ms: float, back: Any) -> None:
        self._group.start_soon(self._vote_back, store, kind, body, wait_ms, back)

    async def _vote_back(self, store: str, kind: str, body: Message, wait_ms: float, back: Any) -> None:
        answer: Message | None = None
        try:
            answered = await self.vote(store, kind, body, wait_ms)
            with reading(kind, store):
                _check(kind, answered)
            answer = answered
        except FleetError as error:
            _log.info("A vote is missing. {}", error)
        try:
            back.send_nowait((store, answer))
        except (anyio.WouldBlock, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass

    def answer(self, kind: str, body: Message) -> Message:
        """Answer a vote.* ask; ``vote.commit`` answers with what it showed to be committed."""
        part, named = field(body, "part", str), (body.get("fleet"), body.get("store"))
        if not self._store.fleet or named != (self._store.fleet, self._store.store):
            raise FleetError.refused(kind, self._store.store, "asked as another store or fleet")
        if part not in self._store.acceptors:
            raise FleetError.refused(kind, self._store.store, f"no part {part}")
        acceptor, ballot = self._store.acceptors[part], read_ballot(body.get("ballot"))
        if kind == "vote.prepare":
            return acceptor.prepare(ballot)
        if kind == "vote.accept":
            answer = acceptor.accept(ballot, body.get("document"), body.get("delta"))
            self._store.note_votes()
            return answer
        if kind == "vote.learn":
            acceptor.learn(ballot, field(body, "document", dict))
            return {"yes": True}
        if kind == "vote.check":
            return {"yes": acceptor.votes() and acceptor.promised == ballot, "promised": acceptor.promised}
        held = acceptor.document
        if kind == "vote.commit" and held and acceptor.ballot == ballot and held["step"] == body.get("step"):
            return {"part": part, "document": held}
        return {}
