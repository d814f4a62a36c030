"""The shape of a state of the model, and the scenario that bounds a search."""

import marshal
from dataclasses import dataclass, replace
from hashlib import blake2b
from typing import Any, NamedTuple

from finchswitch.transport import Message

__all__ = ["Envelope", "NOBODY", "Operator", "Order", "Scenario", "State", "Troubles", "fingerprint"]

NOBODY = -1  # who waits for the answer of a request whose round is over


@dataclass(frozen=True)
class Envelope:
    """A message in flight: a request to a store, or a store's answer."""

    machine: int  # the one whose round asks
    round_key: str
    store: str
    kind: str
    body: Message
    is_answer: bool = False


class Troubles(NamedTuple):
    """How often each trouble may still come. Losses and cuts need no count: any message may stay undelivered."""

    stands: int = 0  # ballots
    crashes: int = 0  # at any moment, also between two disk calls, each followed by a restart
    wipes: int = 0  # the machine comes back with an empty disk, as another store
    tears: int = 0  # a restart that finds its newest file torn
    doubles: int = 0  # requests that are delivered twice
    answers: int = 0  # that are lost or come later than the next steps; all others follow their request at once
    late: int = 0  # requests delivered after their round ended
    swaps: int = 0
    reads: int = 0  # confirmed reads


class Operator(NamedTuple):
    sendings: int  # how often the order may still be sent
    machine: int = NOBODY  # that has the order now
    handler: str = ""
    done: bool = False

    def without_node(self, machine: int) -> "Operator":
        """The operator after a node's end: what became of an order there is unclear."""
        return Operator(self.sendings, done=self.done) if self.machine == machine else self


class State(NamedTuple):
    """Numbers of the parts in their tables; equal states are equal tuples."""

    replicas: tuple[int, ...]
    claims: tuple[int, ...]
    messages: tuple[int, ...]
    operators: tuple[Operator, ...]
    history: int
    troubles: Troubles


@dataclass(frozen=True)
class Order:
    """An operator's order; it is sent once its base was acknowledged."""

    name: str
    base: int

    def change(self) -> dict[str, Any]:
        edit = {"kind": "services", "name": self.name, "value": {"dueMs": 5_000}}
        return {"changeId": self.name, "base": self.base, "edits": [edit]}


@dataclass(frozen=True)
class Scenario:
    name: str
    members: tuple[str, ...]
    spares: tuple[str, ...]
    orders: tuple[Order, ...]
    sendings: int
    troubles: Troubles
    owner_first: bool = True  # begin with the first member as owner
    waits_for_lock: bool = False  # whether other orders may be judged before a judged one begins its commit

    def deeper(self, more: int) -> "Scenario":
        """The same with every trouble that it has coming more often."""
        counts = Troubles(*(count + more if count else 0 for count in self.troubles))
        return replace(self, troubles=counts)


def fingerprint(state: State) -> bytes:
    """A canonical hash of 128 bits."""
    operators = [tuple(each) for each in state.operators]
    plain: Any = (state.replicas, state.claims, state.messages, operators, state.history, tuple(state.troubles))
    return blake2b(marshal.dumps(plain, 2), digest_size=16).digest()
