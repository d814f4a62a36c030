"""The owner's side of one part: winning a ballot, taking up what was open, committing the next generation.

``stand`` prepares at a majority, takes the document with the highest ballot and generation found, and has it
accepted again under the new ballot. ``commit`` then has generation n+1 accepted. A commit that finds no
majority leaves its fate open, so the proposer falls back to idle and must stand again before it speaks.
While a group changes, both the former and the new group must give a majority.
"""

from enum import Enum
from typing import Any, Protocol

import anyio

from finchswitch.constants import ACCEPT_WAIT_MS, PREPARE_WAIT_MS
from finchswitch.control.acceptor import read_ballot
from finchswitch.control.document import Ballot, Document, shrink
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.logs import prefix
from finchswitch.state_machines import StateMachine, load_transitions
from finchswitch.transport import Message

__all__ = ["ProposerState", "Proposer", "Voters"]

_log = prefix("accord")


class ProposerState(Enum):
    IDLE = "idle"
    STANDING = "standing"
    RECLAIMING = "reclaiming"
    OWNING = "owning"


class ProposerEvent(Enum):
    STAND = "stand"
    ELECTED = "elected"
    RECLAIMED = "reclaimed"
    OUTVOTED = "outvoted"


_TRANSITIONS = load_transitions("owner", ProposerState, ProposerEvent)


class Voters(Protocol):
    async def vote(self, store: str, kind: str, body: Message, wait_ms: float) -> Message: ...

    def later(self, store: str, kind: str, body: Message, wait_ms: float, back: Any) -> None:
        """Ask in the background; ``back`` is a memory stream that gets (store, answer or None)."""


def majority(yes: set[str], *groups: list[str]) -> bool:
    """Whether those who said yes are a majority of each group.

    >>> majority({"a", "b"}, ["a", "b", "c"], ["a", "b", "d"])
    True
    >>> majority({"a", "c"}, ["a", "b", "c"], ["a", "b", "d"])
    False
    """
    return all(2 * len(yes & set(group)) > len(group) for group in groups)


class Proposer:
    def __init__(self, part: str, store: str, voters: Voters) -> None:
        self.part, self._store, self._voters = part, store, voters
        self._state_machine = StateMachine(_TRANSITIONS, part)
        self._lock = anyio.Lock()
        self.ballot: Ballot = (0, "")
        self.highest = 0  # highest ballot number seen anywhere
        self.document: Document | None = None
        self._found_ballot: Ballot = (0, "")
        self._left_out: tuple[Ballot, int] = ((0, ""), -1)  # of the newest found whose group lacks this store

    @property
    def state(self) -> ProposerState:
        return self._state_machine.state

    def owns(self) -> bool:
        return self._state_machine.state is ProposerState.OWNING

    def step_down(self, reason: str) -> None:
        if self._state_machine.can(ProposerEvent.OUTVOTED):
            _log.info("No longer owner of {}. {}", self.part, reason)
            self._state_machine.take(ProposerEvent.OUTVOTED)

    async def stand(self, known: Document) -> bool:
        """Try to become the owner, starting from a document this store holds."""
        async with self._lock:
            if not self._state_machine.can(ProposerEvent.STAND):
                return False
            self._state_machine.take(ProposerEvent.STAND)
            self.highest += 1
            self.ballot = (self.highest, self._store)
            found = await self._elect(known)
            if found is None:
                self.step_down("No majority for a ballot.")
                return False
            self._state_machine.take(ProposerEvent.ELECTED)
            if self._store not in found["group"]:
                self._left_out = max(self._left_out, (self._found_ballot, found["step"]))
                self.step_down("This store is not of the group that was found.")
                return False
            if not await self._accept(found, None):
                self.step_down("What was found could not be accepted again.")
                return False
            self.document = found
            self._state_machine.take(ProposerEvent.RECLAIMED)
            _log.info("Owner of {} at generation {} by ballot {}.", self.part, found["generation"], self.ballot)
            return True

    def left_out(self, ballot: Ballot, step: int) -> bool:
        """Whether a document as new as this one was already found to be overtaken by one without this store."""
        return (ballot, step) <= self._left_out

    async def commit(self, base: Document, following: Document) -> None:
        """Have the next generation accepted, or raise: REFUSED is surely not taken, LOST is open."""
        async with self._lock:
            if not self.owns() or self.document is not base:
                raise FleetError(ErrorKind.REFUSED, "commit", self.part, "not the owner of that base")
            if not await self._accept(following, base):
                self.step_down("A commit found no majority.")
                raise FleetError(ErrorKind.LOST, "commit", self.part, "no majority accepted in time")
            if not self.owns():
                raise FleetError(ErrorKind.LOST, "commit", self.part, "outvoted meanwhile")
            self.document = following

    async def settled(self) -> Document | None:
        """The document of this owner at a moment when no commit is under way; None if it does not own.

        Where ``check``, begun after this, succeeds, no newer document was committed anywhere at that moment.
        """
        async with self._lock:
            return self.document if self.owns() else None

    async def check(self) -> bool:
        """Whether a majority still holds this owner's ballot as the highest promised."""
        document, ballot = self.document, self.ballot
        if not self.owns() or document is None:
            return False
        asked, yes = sorted({*document["group"], *document["former"]}), set[str]()
        send, receive = anyio.create_memory_object_stream[tuple[str, Message | None]](64)
        for store in asked:
            self._voters.later(store, "vote.check", {"part": self.part, "ballot": ballot}, PREPARE_WAIT_MS, send)
        with anyio.move_on_after(PREPARE_WAIT_MS / 1000):
            for _ in asked:
                store, answer = await receive.receive()
                if answer is not None and answer["yes"] is True:
                    yes.add(store)
                if majority(yes, document["group"], document["former"]):
                    return self.owns() and self.ballot == ballot
        return False

    async def _elect(self, known: Document) -> Document | None:
        body = {"part": self.part, "ballot": self.ballot}
        best, best_ballot = known, (0, "")
        yes: set[str] = set()
        asked: set[str] = set()
        answered = 0
        send, receive = anyio.create_memory_object_stream[tuple[str, Message | None]](64)
        with anyio.move_on_after(PREPARE_WAIT_MS / 1000):
            while self._store not in yes or not majority(yes, best["group"], best["former"]):
                for store in sorted({*best["group"], *best["former"]} - asked):
                    asked.add(store)
                    self._voters.later(store, "vote.prepare", body, PREPARE_WAIT_MS, send)
                if answered == len(asked):
                    return None
                store, answer = await receive.receive()
                answered += 1
                if answer is None:
                    continue
                self.highest = max(self.highest, read_ballot(answer["promised"])[0])
                if answer["yes"] is not True:
                    return None
                yes.add(store)
                held, held_ballot = answer["document"], read_ballot(answer["ballot"])
                if (held_ballot, held["step"]) >= (best_ballot, best["step"]):
                    best, best_ballot = held, held_ballot
            self._found_ballot = best_ballot
            return best
        return None

    async def _accept(self, document: Document, base: Document | None) -> bool:
        whole: Message = {"part": self.part, "ballot": self.ballot, "document": document}
        body = whole
        if base is not None:
            body = {"part": self.part, "ballot": self.ballot, "delta": shrink(base, document)}
        yes: set[str] = set()
        asked = sorted({*document["group"], *document["former"]})
        send, receive = anyio.create_memory_object_stream[tuple[str, Message | None]](64)
        for store in asked:
            self._voters.later(store, "vote.accept", body, ACCEPT_WAIT_MS, send)
        open_votes = len(asked)
        with anyio.move_on_after(ACCEPT_WAIT_MS / 1000):
            while not majority(yes, document["group"], document["former"]):
                if open_votes == 0:
                    return False
                store, answer = await receive.receive()
                open_votes -= 1
                if answer is None:
                    continue
                self.highest = max(self.highest, read_ballot(answer["promised"])[0])
                if answer["yes"] is True:
                    yes.add(store)
                elif answer["lacks"] is True:
                    open_votes += 1
                    self._voters.later(store, "vote.accept", whole, ACCEPT_WAIT_MS, send)
                else:
                    return False
            return True
        return False
