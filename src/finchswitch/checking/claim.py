"""One control node's proposer in the model: the real Ownership and rounds, and the orders it handles.

``Proposer`` runs the same methods with a network, time limits and a lock. Here each answer and each end of a wait is
one step. What an order gets is decided by the real ``judge_change``; what is told without a commit waits for a
ConfirmRound that began after the order arrived.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from finchswitch.checking.interning import SharedDocument
from finchswitch.configuration.reader import ConfigurationReader
from finchswitch.constants import CONFIGURATION_PART
from finchswitch.control import document as documents
from finchswitch.control.document import Ballot, Document
from finchswitch.control.judgement import Proposed, Refused, Remembered, judge_change
from finchswitch.control.ownership import Ownership, ProposerState
from finchswitch.control.rounds import ConfirmRound, Election, Verdict, VoteRequest, VotingRound
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.transport import Message

__all__ = ["Claim", "Effects", "MAIN", "Outcome", "Result"]

MAIN = "main"  # the round under the proposer's lock
_READER = ConfigurationReader()
STAND, SWAP = "stand", "swap"


class Result(Enum):
    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"
    UNCLEAR = "unclear"
    NOT_TAKEN = "surely not taken"
    READ = "read"


@dataclass(frozen=True)
class Outcome:
    """What a handler tells its operator."""

    handler: str
    result: Result
    document: Document | None = None
    ballot: Ballot = (0, "")  # of the owner that tells it


@dataclass
class Effects:
    """What one step of a claim brings about."""

    requests: list[tuple[str, VoteRequest]] = field(default_factory=list)
    ended: list[str] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)
    elected: Ballot | None = None
    reclaimed: Document | None = None
    committed: Document | None = None  # a change of the group that the owner takes as committed


@dataclass
class Handler:
    """One order or read that this node handles: a commit that waits for the lock, or a confirmation."""

    change: Message | None
    base: Document
    following: Document | None = None
    confirmation: ConfirmRound | None = None
    refuses: bool = False


class Claim:
    def __init__(self, store: str, highest: int) -> None:
        self.ownership = Ownership(CONFIGURATION_PART, store)
        self.ownership.highest = highest
        self.holder = ""  # who holds the lock: STAND, SWAP or a handler
        self.round: VotingRound | None = None
        self.following: Document | None = None
        self.handlers: dict[str, Handler] = {}

    def idle(self) -> bool:
        return not self.holder

    def stand(self, known: Document, heard: int) -> Effects:
        """Begin an election, having heard of ballots up to ``heard``."""
        effects = Effects()
        self.ownership.highest = max(self.ownership.highest, heard)
        election = self.ownership.begin_stand(known)
        if election is not None:
            self._begin(STAND, election, effects)
        return effects

    def take_order(self, handler: str, change: Message) -> Effects:
        """Judge an order against the document held; only while no commit is under way."""
        effects, document = Effects(), self.ownership.document
        if not self.ownership.owns() or document is None:
            effects.outcomes.append(Outcome(handler, Result.NOT_TAKEN))
            return effects
        judgement = judge_change(document, change, _READER)
        self.handlers[handler] = Handler(change, document)
        if isinstance(judgement, Proposed):
            self.handlers[handler].following = SharedDocument.of(judgement.following)
        else:
            assert isinstance(judgement, (Refused, Remembered))
            self.handlers[handler].refuses = isinstance(judgement, Refused)
            self._confirm(handler, effects)
        return effects

    def take_read(self, handler: str) -> Effects:
        effects, document = Effects(), self.ownership.document
        if self.ownership.owns() and document is not None:
            self.handlers[handler] = Handler(None, document)
            self._confirm(handler, effects)
        return effects

    def commit_order(self, handler: str) -> Effects:
        """Take the lock for a judged order; one whose base was overtaken is judged anew."""
        effects, order = Effects(), self.handlers[handler]
        assert order.following is not None and order.change is not None
        try:
            self._begin(handler, self.ownership.begin_commit(order.base, order.following), effects)
            self.following = order.following
        except FleetError as error:
            assert error.kind is ErrorKind.REFUSED
            del self.handlers[handler]
            return self.take_order(handler, order.change)
        return effects

    def swap(self, group: list[str]) -> Effects:
        """Commit another group, first together with the one that it follows."""
        effects, base = Effects(), self.ownership.document
        assert base is not None
        self.following = SharedDocument.of(documents.succeed(base, base["body"], None, group))
        self._begin(SWAP, self.ownership.begin_commit(base, self.following), effects)
        return effects

    def forget_what_ended(self) -> None:
        """Drop what the next stand overwrites before anything reads it, so that fewer states differ."""
        if self.ownership.state is ProposerState.IDLE:
            self.ownership.ballot, self.ownership.document = (0, ""), None

    def receive(self, key: str, store: str, answer: Message | None) -> Effects:
        effects, voting_round = Effects(), self._round_of(key)
        effects.requests += [(key, request) for request in voting_round.receive(store, answer)]
        self.ownership.highest = max(self.ownership.highest, voting_round.highest)
        if voting_round.verdict is not Verdict.OPEN:
            self._end(key, voting_round, effects)
        return effects

    def expire(self, key: str) -> Effects:
        """The time of a round is out."""
        effects = Effects()
        self._end(key, self._round_of(key), effects)
        return effects

    def open_rounds(self) -> list[str]:
        confirmations = [key for key, handler in self.handlers.items() if handler.confirmation is not None]
        return [*([MAIN] if self.round is not None else []), *sorted(confirmations)]

    def waiting(self) -> list[str]:
        """Judged orders that wait for the lock."""
        return sorted(key for key, each in self.handlers.items() if each.following is not None and key != self.holder)

    def _round_of(self, key: str) -> VotingRound:
        found: Any = self.round if key == MAIN else self.handlers[key].confirmation
        assert found is not None
        return found  # type: ignore[no-any-return]

    def _begin(self, holder: str, voting_round: VotingRound, effects: Effects) -> None:
        self.holder, self.round = holder, voting_round
        effects.requests += [(MAIN, request) for request in voting_round.start()]

    def _confirm(self, handler: str, effects: Effects) -> None:
        confirmation = self.ownership.begin_check()
        assert confirmation is not None
        self.handlers[handler].confirmation = confirmation
        effects.requests += [(handler, request) for request in confirmation.start()]

    def _end(self, key: str, voting_round: VotingRound, effects: Effects) -> None:
        effects.ended.append(key)
        won = voting_round.verdict is Verdict.WON
        if isinstance(voting_round, ConfirmRound):
            self._end_confirmation(key, voting_round, won, effects)
        elif isinstance(voting_round, Election):
            self._end_election(voting_round, won, effects)
        else:
            holder, following, self.holder, self.round, self.following = self.holder, self.following, "", None, None
            assert following is not None
            if holder == STAND:
                effects.reclaimed = following if self.ownership.reclaimed(following, won) else None
            else:
                self._end_commit(holder, following, won, effects)

    def _end_election(self, election: Election, won: bool, effects: Effects) -> None:
        found = election.found if won else None
        reclaim = self.ownership.elected(found, election.found_ballot)
        self.holder, self.round, self.following = "", None, None
        if reclaim is not None:
            effects.elected = self.ownership.ballot
            self.following = found
            self._begin(STAND, reclaim, effects)

    def _end_commit(self, holder: str, following: Document, won: bool, effects: Effects) -> None:
        result = Result.ACKNOWLEDGED
        try:
            self.ownership.committed(following, won)
        except FleetError:
            result = Result.UNCLEAR
        if holder == SWAP:
            effects.committed = following if result is Result.ACKNOWLEDGED else None
        else:
            del self.handlers[holder]
            effects.outcomes.append(Outcome(holder, result, following, self.ownership.ballot))

    def _end_confirmation(self, key: str, confirmation: ConfirmRound, won: bool, effects: Effects) -> None:
        confirmed, handler = self.ownership.checked(confirmation, won), self.handlers.pop(key)
        if handler.change is None:
            result = Result.READ if confirmed else Result.NOT_TAKEN
        elif handler.refuses:
            result = Result.REFUSED if confirmed else Result.NOT_TAKEN
        else:
            result = Result.ACKNOWLEDGED if confirmed else Result.UNCLEAR
        effects.outcomes.append(Outcome(key, result, handler.base, self.ownership.ballot))
