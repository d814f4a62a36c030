"""One store's claim to own a part, as pure state: its ballot, its document, and which round comes next.

Standing is an election, then the found document accepted again under the new ballot. A commit has the next document
accepted. A commit that finds no majority leaves its fate open, so the claim falls back to idle and must stand again.
Nothing here waits, sends or reads a clock: ``Proposer`` runs the rounds that these methods give.
"""

from enum import Enum

from finchswitch.control.document import Ballot, Document
from finchswitch.control.rounds import AcceptRound, ConfirmRound, Election
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.logs import prefix
from finchswitch.state_machines import StateMachine, load_transitions

__all__ = ["Ownership", "ProposerState"]

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


class Ownership:
    def __init__(self, part: str, store: str) -> None:
        self.part, self._store = part, store
        self._state_machine = StateMachine(_TRANSITIONS, part)
        self.ballot: Ballot = (0, "")
        self.highest = 0  # highest ballot number seen anywhere
        self.document: Document | None = None
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

    def left_out(self, ballot: Ballot, step: int) -> bool:
        """Whether a document as new as this one was already found to be overtaken by one without this store."""
        return (ballot, step) <= self._left_out

    def begin_stand(self, known: Document) -> Election | None:
        """Take the next ballot; None when this store already stands or owns."""
        if not self._state_machine.can(ProposerEvent.STAND):
            return None
        self._state_machine.take(ProposerEvent.STAND)
        self.highest += 1
        self.ballot = (self.highest, self._store)
        return Election(self.part, self._store, self.ballot, known)

    def elected(self, found: Document | None, found_ballot: Ballot) -> AcceptRound | None:
        """Judge the end of an election: the round that accepts what was found again, or None."""
        if found is None:
            self.step_down("No majority for a ballot.")
            return None
        self._state_machine.take(ProposerEvent.ELECTED)
        if self._store not in found["group"]:
            self._left_out = max(self._left_out, (found_ballot, found["step"]))
            self.step_down("This store is not of the group that was found.")
            return None
        return AcceptRound(self.part, self.ballot, found, None)

    def reclaimed(self, found: Document, accepted: bool) -> bool:
        """Judge the end of the round that ``elected`` gave; whether this store owns the part now."""
        if not accepted:
            self.step_down("What was found could not be accepted again.")
            return False
        self.document = found
        self._state_machine.take(ProposerEvent.RECLAIMED)
        _log.info("Owner of {} at generation {} by ballot {}.", self.part, found["generation"], self.ballot)
        return True

    def begin_commit(self, base: Document, following: Document) -> AcceptRound:
        if not self.owns() or self.document is not base:
            raise FleetError(ErrorKind.REFUSED, "commit", self.part, "not the owner of that base")
        return AcceptRound(self.part, self.ballot, following, base)

    def committed(self, following: Document, accepted: bool) -> None:
        """Judge the end of a commit's round; raises LOST when its fate is open."""
        if not accepted:
            self.step_down("A commit found no majority.")
            raise FleetError(ErrorKind.LOST, "commit", self.part, "no majority accepted in time")
        if not self.owns():
            raise FleetError(ErrorKind.LOST, "commit", self.part, "outvoted meanwhile")
        self.document = following

    def begin_check(self) -> ConfirmRound | None:
        if not self.owns() or self.document is None:
            return None
        return ConfirmRound(self.part, self.ballot, self.document)

    def checked(self, confirmation: ConfirmRound, confirmed: bool) -> bool:
        """Judge the end of a confirmation: it counts for the ballot that asked, while it still owns.

        An owner whose ballot was overtaken steps down, also where the later candidate failed: it could never be
        confirmed again, and while it claims the part nobody else stands.
        """
        if not self.owns() or self.ballot != confirmation.ballot:
            return False
        if not confirmed and confirmation.overtaken:
            self.step_down("A later ballot was promised.")
        return confirmed
