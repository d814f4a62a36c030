"""The replicas: how a proposer's asks reach every acceptor, and how this node's acceptors answer.

An ask names the fleet and the store that it means, so that a store which took a lost one's place at the same
address is never mistaken for it.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
from anyio.abc import TaskGroup

from finchswitch.constants import DISK_SLOW_KEEP_MS, OWN_VOTE_AFTER_MS, VOTE_PAUSE_MS, VOTE_SLOW_MS
from finchswitch.control.acceptor import read_ballot
from finchswitch.control.document import Document
from finchswitch.control.store import Store
from finchswitch.errors import FleetError
from finchswitch.logs import prefix
from finchswitch.membership.control_peers import ControlPeers
from finchswitch.transport import Book, Message, World, field, reading

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
    def __init__(self, world: World, store: Store, control_peers: ControlPeers, book: Book, group: TaskGroup) -> None:
        self._world = world
        self._store, self._control_peers, self._book, self._group = store, control_peers, book, group
        self._disk_turn = anyio.Semaphore(1)
        self._part_turn = anyio.Lock()
        self._slow_until_ms = 0.0  # the disk counts as slow until then

    async def vote(self, store: str, kind: str, body: Message, wait_ms: float) -> Message:
        body = {**body, "fleet": self._store.fleet, "store": store}
        if store == self._store.store:
            return await self.answer_in_turn(kind, body)
        control_peer = self._control_peers.by_store.get(store)
        if control_peer is None:
            raise FleetError.silent(kind, store, "its address is not known")
        return await self._book.ask(control_peer.address, kind, body, wait_ms)

    def later(self, store: str, kind: str, body: Message, wait_ms: float, back: Any) -> None:
        """Ask in the background. This store's own promise is synced before this returns, so before any other store
        is asked; its own accept comes after the asks to the others are on their way, so that disks work side by side.
        """
        if store == self._store.store and kind == "vote.prepare":
            self._own_promise(body, back)
            return
        self._group.start_soon(self._vote_back, store, kind, body, wait_ms, back)

    def _own_promise(self, body: Message, back: Any) -> None:
        answer: Message | None = None
        began_ms = self._world.now_ms()
        try:
            answered = self.answer("vote.prepare", {**body, "fleet": self._store.fleet, "store": self._store.store})
            with reading("vote.prepare", self._store.store):
                _check("vote.prepare", answered)
            answer = answered
        except FleetError as error:
            _log.info("This store does not promise. {}", error)
        self._was_slow(began_ms)
        back.send_nowait((self._store.store, answer))

    async def _vote_back(self, store: str, kind: str, body: Message, wait_ms: float, back: Any) -> None:
        answer: Message | None = None
        if store == self._store.store:
            await self._world.sleep(OWN_VOTE_AFTER_MS)
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

    @asynccontextmanager
    async def part_turn(self) -> AsyncIterator[None]:
        """While the disk is slow this node's candidatures and group changes go one after the other, since the writes
        of several parts would wait for each other until all of them are too late. Otherwise they run side by side."""
        if self._world.now_ms() > self._slow_until_ms:
            yield
            return
        async with self._part_turn:
            yield

    async def answer_in_turn(self, kind: str, body: Message) -> Message:
        """Answer a vote.* ask. After a slow write the loop first sends what waits, before the next write blocks it."""
        await self._disk_turn.acquire()
        began_ms = self._world.now_ms()
        try:
            return self.answer(kind, body)
        finally:
            if self._was_slow(began_ms):
                self._group.start_soon(self._end_turn)
            else:
                self._disk_turn.release()

    def _was_slow(self, began_ms: float) -> bool:
        """Whether a vote begun then took long; the disk counts as slow for a while after one."""
        now_ms = self._world.now_ms()
        slow = now_ms - began_ms > VOTE_SLOW_MS
        if slow:
            self._slow_until_ms = now_ms + DISK_SLOW_KEEP_MS
        return slow

    async def _end_turn(self) -> None:
        await self._world.sleep(VOTE_PAUSE_MS)
        self._disk_turn.release()

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
