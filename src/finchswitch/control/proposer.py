"""The owner's side of one part: sends the requests of its rounds, and waits for the answers.

What to ask and what the answers mean stands in ``ownership`` and ``rounds``; here are the network, the time limits,
and the lock that lets one round of standing or committing run at a time.
"""

from typing import Any, Protocol

import anyio

from finchswitch.constants import ACCEPT_WAIT_MS, PREPARE_WAIT_MS
from finchswitch.control.document import Document
from finchswitch.control.ownership import Ownership, ProposerState
from finchswitch.control.rounds import Election, Verdict, VoteRequest, VotingRound
from finchswitch.transport import Message

__all__ = ["ProposerState", "Proposer", "Voters"]

_ANSWERS_WAITING = 64  # more than the stores of two groups, each asked twice


class Voters(Protocol):
    async def vote(self, store: str, kind: str, body: Message, wait_ms: float) -> Message: ...

    def later(self, store: str, kind: str, body: Message, wait_ms: float, back: Any) -> None:
        """Ask in the background; ``back`` is a memory stream that gets (store, answer or None)."""


class Proposer(Ownership):
    def __init__(self, part: str, store: str, voters: Voters) -> None:
        super().__init__(part, store)
        self._voters = voters
        self._lock = anyio.Lock()

    async def stand(self, known: Document) -> bool:
        """Try to become the owner, starting from a document this store holds."""
        async with self._lock:
            election = self.begin_stand(known)
            if election is None:
                return False
            found = await self._elect(election)
            reclaim = self.elected(found, election.found_ballot)
            if found is None or reclaim is None:
                return False
            return self.reclaimed(found, await self._run(reclaim, ACCEPT_WAIT_MS))

    async def commit(self, base: Document, following: Document) -> None:
        """Have the next generation accepted, or raise: REFUSED is surely not taken, LOST is open."""
        async with self._lock:
            accepted = await self._run(self.begin_commit(base, following), ACCEPT_WAIT_MS)
            self.committed(following, accepted)

    async def settled(self) -> Document | None:
        """The document of this owner at a moment when no commit is under way; None if it does not own.

        Where ``check``, begun after this, succeeds, no newer document was committed anywhere at that moment.
        """
        async with self._lock:
            return self.document if self.owns() else None

    async def check(self) -> bool:
        """Whether a majority still holds this owner's ballot as the highest promised."""
        confirmation = self.begin_check()
        if confirmation is None:
            return False
        return self.checked(confirmation, await self._run(confirmation, PREPARE_WAIT_MS))

    async def _elect(self, election: Election) -> Document | None:
        won = await self._run(election, PREPARE_WAIT_MS)
        return election.found if won else None

    async def _run(self, voting_round: VotingRound, wait_ms: float) -> bool:
        """Run a round until it is decided or its time is out; whether it was won."""
        send, receive = anyio.create_memory_object_stream[tuple[str, Message | None]](_ANSWERS_WAITING)
        with anyio.move_on_after(wait_ms / 1000):
            self._send(voting_round.start(), wait_ms, send)
            while voting_round.verdict is Verdict.OPEN:
                store, answer = await receive.receive()
                self._send(voting_round.receive(store, answer), wait_ms, send)
                self.highest = max(self.highest, voting_round.highest)
        return voting_round.verdict is Verdict.WON

    def _send(self, requests: list[VoteRequest], wait_ms: float, back: Any) -> None:
        for request in requests:
            self._voters.later(request.store, request.kind.value, request.body, wait_ms, back)

    async def resign(self) -> bool:
        """Stop owning between two commits, so that another member may stand; False where this one owns nothing."""
        async with self._lock:
            if not self.owns():
                return False
            self.step_down("Handed over.")
            return True
