"""What one control node knows of another: the content of its last answer to a beat, and when that was asked.

Beats go both ways between all control nodes. An answer counts from the moment its beat was sent, so that an
old answer that arrives late does not look fresh.
"""

from dataclasses import dataclass, field
from typing import Any

from finchswitch.constants import CONTROL_SILENT_MS, FORGET_MS
from finchswitch.control.acceptor import read_ballot
from finchswitch.control.document import Ballot
from finchswitch.transport import Message
from finchswitch.transport import field as read

__all__ = ["ControlPeer", "ControlPeers"]


@dataclass
class ControlPeer:
    """Another control node."""

    store: str
    name: str
    address: str
    http: str
    fleet: str
    founders: list[str]
    sees: list[str]
    owns: dict[str, dict[str, Any]]
    promised: dict[str, Ballot]
    generations: dict[str, int]
    sessions: list[Message]
    failure_domain: str = ""  # its zone, or its region where regions may be lost
    may_found: bool = False
    proposal: list[str] = field(default_factory=list)
    digest: Message = field(default_factory=dict)
    leaving: bool = False  # a planned stop is under way
    heard_ms: float = 0.0
    asked_ms: float = field(default=-1e18)
    answered: "ControlPeer | None" = field(
        default=None, repr=False, compare=False
    )  # its newest answer to a beat; a beat of its own may be old on arrival

    @classmethod
    def read(cls, body: Message, peer: str) -> "ControlPeer":
        promised = read(body, "promised", dict, peer)
        return cls(
            store=read(body, "store", str, peer),
            name=read(body, "name", str, peer),
            address=read(body, "address", str, peer),
            http=read(body, "http", str, peer),
            fleet=read(body, "fleet", str, peer),
            founders=read(body, "founders", list, peer),
            sees=read(body, "sees", list, peer),
            owns=read(body, "owns", dict, peer),
            promised={part: read_ballot(ballot) for part, ballot in promised.items()},
            generations=read(body, "generations", dict, peer),
            sessions=read(body, "sessions", list, peer),
            failure_domain=str(body.get("district", "")),
            may_found=body.get("mayFound") is True,
            proposal=[str(store) for store in body.get("proposal", [])],
            digest=body.get("digest", {}),
            leaving=body.get("leaving") is True,
        )


class ControlPeers:
    """The control nodes known, by store and by address."""

    def __init__(self, own_address: str, seeds: list[str]) -> None:
        self._own, self.seeds = own_address, list(seeds)
        self.addresses = {each for each in seeds if each != own_address}
        self.by_store: dict[str, ControlPeer] = {}
        self.met: set[str] = set()  # addresses that said what they are
        self.routing: set[str] = set()  # seeds that turned out to be routing nodes

    def new_seeds(self, seeds: list[str]) -> None:
        """Other processes to ask for control nodes."""
        self.seeds = list(seeds)
        self.addresses |= {each for each in seeds if each != self._own}

    def heard(self, control_peer: ControlPeer, now_ms: float, asked_ms: float | None) -> None:
        """Take in a beat (no askedMs) or the answer to one."""
        before = self.by_store.get(control_peer.store)
        if asked_ms is not None and (before is None or asked_ms >= before.asked_ms):
            control_peer.asked_ms, control_peer.answered = asked_ms, control_peer
        elif before is not None:
            control_peer.asked_ms, control_peer.answered = before.asked_ms, before.answered
        control_peer.heard_ms = now_ms
        for other in [each for each in self.by_store.values() if each.address == control_peer.address]:
            del self.by_store[other.store]
        self.by_store[control_peer.store] = control_peer
        if control_peer.address != self._own:
            self.addresses.add(control_peer.address)

    def forget_silent(self, now_ms: float) -> None:
        """Control nodes silent for long; the seeds are asked forever."""
        for control_peer in [each for each in self.by_store.values() if now_ms - each.heard_ms > FORGET_MS]:
            del self.by_store[control_peer.store]
            if control_peer.address not in self.seeds:
                self.addresses.discard(control_peer.address)

    def alive(self, now_ms: float) -> list[ControlPeer]:
        return [each for each in self.by_store.values() if now_ms - each.heard_ms <= CONTROL_SILENT_MS]

    def silent_ms(self, store: str, now_ms: float) -> float:
        control_peer = self.by_store.get(store)
        return now_ms - control_peer.heard_ms if control_peer else float("inf")
