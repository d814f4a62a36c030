"""Rounds of votes as pure state: whom to ask, what an answer means, and when a round is decided.

A round does no input or output and reads no clock. ``start`` and ``receive`` give the requests to send next, and
``verdict`` says whether the round is still open. Whoever runs it sends, waits, and gives up when time is out.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from finchswitch.control.acceptor import read_ballot
from finchswitch.control.document import Ballot, Document, shrink
from finchswitch.transport import Message

__all__ = ["AcceptRound", "ConfirmRound", "Election", "VoteKind", "VoteRequest", "Verdict", "VotingRound", "majority"]


class Verdict(Enum):
    OPEN = "open"
    WON = "won"
    LOST = "lost"


class VoteKind(Enum):
    """The kinds of request, by their names on the wire."""

    PREPARE = "vote.prepare"
    ACCEPT = "vote.accept"
    CHECK = "vote.check"


@dataclass(frozen=True)
class VoteRequest:
    """One request to one store's acceptor."""

    store: str
    kind: VoteKind
    body: Message


class VotingRound(Protocol):
    verdict: Verdict
    highest: int  # highest ballot number that an answer showed

    def start(self) -> list[VoteRequest]: ...

    def receive(self, store: str, answer: Message | None) -> list[VoteRequest]:
        """Take a store's answer, None when there is none, and give the requests to send next."""


def majority(yes: set[str], *groups: list[str]) -> bool:
    """Whether those who said yes are a majority of each group.

    >>> majority({"a", "b"}, ["a", "b", "c"], ["a", "b", "d"])
    True
    >>> majority({"a", "c"}, ["a", "b", "c"], ["a", "b", "d"])
    False
    """
    return all(2 * len(yes & set(group)) > len(group) for group in groups)


def _voters(document: Document) -> set[str]:
    return {*document["group"], *document["former"]}


class Election:
    """Prepare a ballot at a majority of the newest document's groups, and find that document.

    A document that an answer brings may name other groups; then their stores are asked as well. The candidate's own
    store must be among those that promise.
    """

    def __init__(self, part: str, candidate: str, ballot: Ballot, known: Document) -> None:
        self.verdict, self.highest = Verdict.OPEN, 0
        self.found: Document = known
        self.found_ballot: Ballot = (0, "")
        self._candidate = candidate
        self._body: Message = {"part": part, "ballot": ballot}
        self._asked: set[str] = set()
        self._unanswered: set[str] = set()
        self._promised: set[str] = set()

    def start(self) -> list[VoteRequest]:
        return self._ask_voters()

    def receive(self, store: str, answer: Message | None) -> list[VoteRequest]:
        if self.verdict is not Verdict.OPEN or store not in self._unanswered:
            return []
        self._unanswered.discard(store)
        if answer is not None:
            self.highest = max(self.highest, read_ballot(answer["promised"])[0])
            if answer["yes"] is not True:
                self.verdict = Verdict.LOST
                return []
            self._promised.add(store)
            self._consider(answer["document"], read_ballot(answer["ballot"]))
        return self._decide()

    def _consider(self, document: Document, ballot: Ballot) -> None:
        if (ballot, document["step"]) >= (self.found_ballot, self.found["step"]):
            self.found, self.found_ballot = document, ballot

    def _decide(self) -> list[VoteRequest]:
        own_promise = self._candidate in self._promised
        if own_promise and majority(self._promised, self.found["group"], self.found["former"]):
            self.verdict = Verdict.WON
            return []
        requests = self._ask_voters()
        if not self._unanswered:
            self.verdict = Verdict.LOST
        return requests

    def _ask_voters(self) -> list[VoteRequest]:
        stores = sorted(_voters(self.found) - self._asked)
        self._asked.update(stores)
        self._unanswered.update(stores)
        return [VoteRequest(store, VoteKind.PREPARE, self._body) for store in stores]


class AcceptRound:
    """Have a document accepted by a majority of its group and of its former group.

    With a base, stores are sent the difference first; one that lacks the base is sent the whole document.
    """

    def __init__(self, part: str, ballot: Ballot, document: Document, base: Document | None) -> None:
        self.verdict, self.highest = Verdict.OPEN, 0
        self.document = document
        self._whole: Message = {"part": part, "ballot": ballot, "document": document}
        self._first = self._whole
        if base is not None:
            self._first = {"part": part, "ballot": ballot, "delta": shrink(base, document)}
        self._unanswered: set[str] = set()
        self._accepted: set[str] = set()

    def start(self) -> list[VoteRequest]:
        stores = sorted(_voters(self.document))
        self._unanswered.update(stores)
        return [VoteRequest(store, VoteKind.ACCEPT, self._first) for store in stores]

    def receive(self, store: str, answer: Message | None) -> list[VoteRequest]:
        if self.verdict is not Verdict.OPEN or store not in self._unanswered:
            return []
        self._unanswered.discard(store)
        if answer is not None:
            self.highest = max(self.highest, read_ballot(answer["promised"])[0])
            if answer["yes"] is True:
                self._accepted.add(store)
            elif answer["lacks"] is True:
                self._unanswered.add(store)
                return [VoteRequest(store, VoteKind.ACCEPT, self._whole)]
            else:
                self.verdict = Verdict.LOST
                return []
        self._decide()
        return []

    def _decide(self) -> None:
        if majority(self._accepted, self.document["group"], self.document["former"]):
            self.verdict = Verdict.WON
        elif not self._unanswered:
            self.verdict = Verdict.LOST


class ConfirmRound:
    """Ask whether a majority of the document's groups still holds this ballot as the highest promised."""

    def __init__(self, part: str, ballot: Ballot, document: Document) -> None:
        self.verdict, self.highest = Verdict.OPEN, 0
        self.ballot, self.document = ballot, document
        self.overtaken = False  # a store that answered has promised a later ballot
        self._body: Message = {"part": part, "ballot": ballot}
        self._unanswered: set[str] = set()
        self._confirmed: set[str] = set()

    def start(self) -> list[VoteRequest]:
        stores = sorted(_voters(self.document))
        self._unanswered.update(stores)
        return [VoteRequest(store, VoteKind.CHECK, self._body) for store in stores]

    def receive(self, store: str, answer: Message | None) -> list[VoteRequest]:
        if self.verdict is not Verdict.OPEN or store not in self._unanswered:
            return []
        self._unanswered.discard(store)
        if answer is not None:
            self._count(store, answer["yes"] is True, read_ballot(answer["promised"]))
        if majority(self._confirmed, self.document["group"], self.document["former"]):
            self.verdict = Verdict.WON
        elif not self._unanswered:
            self.verdict = Verdict.LOST
        return []

    def _count(self, store: str, confirmed: bool, promised: Ballot) -> None:
        self.highest = max(self.highest, promised[0])
        if confirmed:
            self._confirmed.add(store)
        elif promised > self.ballot:
            self.overtaken = True
