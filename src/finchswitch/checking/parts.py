"""The parts of a state and how the real code moves each of them, remembered by number.

Replicas, claims, envelopes and histories stand in tables. Each is moved once for each input; after that the search
handles numbers only, which is what makes it fast enough.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from finchswitch.checking import replica as replicas
from finchswitch.checking.claim import Claim, Effects
from finchswitch.checking.history import History
from finchswitch.checking.interning import SharedDocument, Table, clone
from finchswitch.checking.replica import Replica
from finchswitch.checking.state import NOBODY, Envelope
from finchswitch.control.rounds import VoteRequest

__all__ = ["Move", "Parts"]


@dataclass(frozen=True)
class Move:
    """One step of a claim: the claim after it, what it brought about, and the requests that it sends."""

    claim: int
    effects: Effects
    requests: list[int]
    key: tuple[Any, ...]


class Parts:
    def __init__(self, keep_older: bool) -> None:
        self.replicas = Table[Replica]()
        self.claims = Table[Claim]()
        self.envelopes = Table[Envelope]()
        self.histories = Table[History]()
        self._keep_older = keep_older  # whether the file before the newest counts as part of a replica
        self._remembered: dict[tuple[Any, ...], Any] = {}

    def _once(self, key: tuple[Any, ...], compute: Callable[[], Any]) -> Any:
        if key not in self._remembered:
            self._remembered[key] = compute()
        return self._remembered[key]

    def answered(self, replica: int, number: int) -> tuple[int, int | None]:
        """The store after a request, and the envelope of its answer."""

        def compute() -> tuple[int, int | None]:
            envelope = self.envelopes[number]
            body = envelope.body
            after, answer = replicas.handle_request(self.replicas[replica], envelope.kind, body, self._keep_older)
            if answer is None:
                return self.replicas.number(after), None
            back = replace(envelope, body=_on_the_wire(answer), is_answer=True)
            return self.replicas.number(after), self.envelopes.number(back)

        return self._once(("answer", replica, number), compute)  # type: ignore[no-any-return]

    def crash_outcomes(self, replica: int, number: int) -> list[int]:
        """What a store may be after a crash while it answers, apart from what a crash before that leaves."""

        def compute() -> list[int]:
            envelope, before = self.envelopes[number], self.replicas[replica]
            plain = self.replicas.number(replicas.restart(before))
            after = map(self.replicas.number, replicas.restarts_during(before, envelope.kind, envelope.body))
            return [each for each in dict.fromkeys(after) if each != plain]

        return self._once(("crash", replica, number), compute)  # type: ignore[no-any-return]

    def replaced(self, replica: int, how: Callable[[Replica], Replica]) -> int:
        """A store after its machine restarted in some way."""
        compute = lambda: self.replicas.number(how(self.replicas[replica]))  # noqa: E731
        return self._once(("replaced", replica, how.__name__), compute)  # type: ignore[no-any-return]

    def fresh_claim(self, replica: int) -> int:
        """The claim of a process that has just opened this store."""
        opened = self.replicas[replica]
        compute = lambda: self.claims.number(Claim(opened.store, opened.promised[0]))  # noqa: E731
        return self._once(("fresh", replica), compute)  # type: ignore[no-any-return]

    def moved(self, claim: int, machine: int, key: tuple[Any, ...], arguments: tuple[Any, ...]) -> Move:
        """Call a method of a claim; ``key`` begins with its name and tells its arguments from all others."""
        whole_key = ("claim", claim, machine, *key)

        def compute() -> Move:
            after = clone(self.claims[claim])
            effects: Effects = getattr(after, key[0])(*arguments)
            after.forget_what_ended()
            requests = [self._request(machine, *each) for each in effects.requests]
            return Move(self.claims.number(after), effects, requests, whole_key)

        return self._once(whole_key, compute)  # type: ignore[no-any-return]

    def noted(self, history: int, method: str, about: tuple[Any, ...], arguments: tuple[Any, ...]) -> int:
        """Call a method of a history; ``about`` tells its arguments from all others."""

        def compute() -> int:
            after = clone(self.histories[history])
            getattr(after, method)(*arguments)
            return self.histories.number(after)

        return self._once(("history", history, method, *about), compute)  # type: ignore[no-any-return]

    def orphan(self, number: int) -> int:
        """The same request with nobody waiting for its answer."""
        compute = lambda: self.envelopes.number(replace(self.envelopes[number], machine=NOBODY, round_key=""))  # noqa: E731
        return self._once(("orphan", number), compute)  # type: ignore[no-any-return]

    def learn(self, spare: str, body: dict[str, Any]) -> int:
        """The request by which a spare learns a document."""
        return self.envelopes.number(Envelope(NOBODY, "", spare, "vote.learn", _on_the_wire({**body, "store": spare})))

    def _request(self, machine: int, round_key: str, request: VoteRequest) -> int:
        body = _on_the_wire({**request.body, "store": request.store})
        return self.envelopes.number(Envelope(machine, round_key, request.store, request.kind.value, body))


def _on_the_wire(body: Any) -> Any:
    """What the other side reads of a message; equal documents in it are one object."""
    read = json.loads(json.dumps(body))
    if isinstance(read.get("document"), dict):
        read["document"] = SharedDocument.of(read["document"])
    return read
