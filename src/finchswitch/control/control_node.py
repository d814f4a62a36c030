"""A control node: its store, its control_peer, the sessions it holds, and the proposers it may own.

The control beats to the other control nodes, answers what they and the routing nodes ask, and says who owns a
part and how current its own knowledge is. What is committed becomes news. Standing, founding and swapping are
in ``tending``, votes in ``voting``, changes in ``change``.
"""

from typing import Any

import anyio
from anyio.abc import TaskGroup

from finchswitch.bounds import Bounds
from finchswitch.configuration import ConfigurationReader
from finchswitch.constants import (
    ASK_WAIT_MS,
    BEAT_MS,
    CONTROL_SILENT_MS,
    CURRENT_MOST_MS,
    KICKED_BEAT_LEAST_MS,
    NEWS_STALL_MS,
)
from finchswitch.control.acceptor import read_ballot
from finchswitch.control.document import Ballot, Document, part_names
from finchswitch.control.proposer import Proposer
from finchswitch.control.replicas import Replicas
from finchswitch.control.rounds import majority
from finchswitch.control.store import Store
from finchswitch.distribution import NewsBook
from finchswitch.errors import FleetError
from finchswitch.lifecycle import Lifecycle
from finchswitch.logs import prefix
from finchswitch.membership.control_peers import ControlPeer, ControlPeers
from finchswitch.membership.sessions import Sessions
from finchswitch.membership.tempo import Tempo
from finchswitch.storage import Disk
from finchswitch.transport import Book, Lane, Message, World, field, reading

__all__ = ["ControlNode"]

_log = prefix("accord")


class ControlNode:
    def __init__(self, world: World, disk: Disk, startup: Any, group: TaskGroup) -> None:
        self.world, self.startup, self.group = world, startup, group
        self.started_ms = world.now_ms()
        self.leaving = False  # a planned stop is under way
        self.lifecycle = Lifecycle("accord")
        self.bounds: Bounds = startup.bounds
        self.group_size = 2 * self.bounds.tolerance + 1  # acceptors a part: a majority is left after the losses
        self.store = Store(world, disk, startup.name, self.bounds.founds)
        self.control_peers = ControlPeers(startup.address, startup.seeds)
        self.sessions = Sessions()
        self.news = NewsBook()
        self.configuration_reader = ConfigurationReader()
        self.book = Book(world, group)
        self.tempo = Tempo(world, KICKED_BEAT_LEAST_MS)
        self.replicas = Replicas(world, self.store, self.control_peers, self.book, group)
        self.proposers = {part: Proposer(part, self.store.store, self.replicas) for part in part_names()}
        for part, acceptor in self.store.acceptors.items():
            self.proposers[part].highest = acceptor.promised[0]

    def publish(self, part: str, document: Document) -> None:
        if self.news.take(part, document["generation"], document["body"]):
            self.tempo.kick()

    def announce(self, part: str) -> None:
        """Tell the group that what this owner just had accepted is committed."""
        proposer = self.proposers[part]
        document = proposer.document
        if document is None:
            return
        self.publish(part, document)
        body = {"part": part, "ballot": proposer.ballot, "step": document["step"]}
        back, _ = anyio.create_memory_object_stream[Any](16)
        for store in document["group"]:
            if store != self.store.store:
                self.replicas.later(store, "vote.commit", body, ASK_WAIT_MS, back)

    def failure_domain_of(self, store: str) -> str:
        """The zone or region that a control node would be lost with; empty for one that is not known any more."""
        if store == self.store.store:
            return str(self.startup.failure_domain)
        control_peer = self.control_peers.by_store.get(store)
        return control_peer.failure_domain if control_peer else ""

    def owner_of(self, part: str, now_ms: float) -> tuple[str, Ballot]:
        """The store that claims the part by the highest ballot, among those alive; empty when none does."""
        best: tuple[Ballot, str] = ((0, ""), "")
        if self.proposers[part].owns():
            best = (self.proposers[part].ballot, self.store.store)
        for control_peer in self.control_peers.alive(now_ms):
            if part in control_peer.owns:
                best = max(best, (read_ballot(control_peer.owns[part]["ballot"]), control_peer.store))
        return best[1], best[0]

    def confirmation_age_ms(self, part: str, now_ms: float) -> float | None:
        """As owner: how long ago a majority surely had promised no higher ballot; None past the beats' silence."""
        proposer = self.proposers[part]
        if not proposer.owns() or proposer.document is None:
            return None
        yes = {self.store.store} if self.store.acceptors[part].promised == proposer.ballot else set[str]()
        answers = [peer.answered for peer in self.control_peers.by_store.values() if peer.answered is not None]
        age_ms = 0.0
        for answer in sorted(answers, key=lambda each: -each.asked_ms):
            if majority(yes, proposer.document["group"], proposer.document["former"]):
                break
            if answer.promised.get(part) == proposer.ballot:
                yes.add(answer.store)
                age_ms = now_ms - answer.asked_ms
        confirmed = majority(yes, proposer.document["group"], proposer.document["former"])
        return age_ms if confirmed and age_ms <= CONTROL_SILENT_MS else None

    def current_age_ms(self, part: str, now_ms: float) -> float | None:
        """How long ago what this node holds of a part was surely the newest; None if that is not known.

        What follows from an age: every change acknowledged before that moment is held here. It is no lease; a later
        ballot may have been promised since.
        """
        document, own_age_ms = self.proposers[part].document, self.confirmation_age_ms(part, now_ms)
        if document is not None and own_age_ms is not None:
            return own_age_ms if document["generation"] <= self.news.generation(part) else None
        claims = [
            (read_ballot(peer.answered.owns[part]["ballot"]), peer.answered)
            for peer in self.control_peers.by_store.values()
            if peer.answered is not None and part in peer.answered.owns
        ]
        for _, answer in sorted(claims, key=lambda each: each[0], reverse=True):
            claim, asked_age_ms = answer.owns[part], now_ms - answer.asked_ms
            age_ms = asked_age_ms + float(claim.get("confirmedAgeMs", CONTROL_SILENT_MS))
            if claim["confirmed"] and asked_age_ms <= CONTROL_SILENT_MS and age_ms <= CURRENT_MOST_MS:
                return age_ms if claim["generation"] <= self.news.generation(part) else None
        return None

    def current(self, part: str, now_ms: float) -> bool:
        """Whether what this node holds of a part is lately known to be the newest."""
        return self.current_age_ms(part, now_ms) is not None

    def beat_body(self) -> Message:
        now_ms = self.world.now_ms()
        owns = {
            part: self._claim(part, proposer.document, now_ms)
            for part, proposer in self.proposers.items()
            if proposer.owns() and proposer.document is not None
        }
        return {
            "store": self.store.store,
            "name": self.startup.name,
            "address": self.startup.address,
            "http": self.startup.http,
            "district": self.startup.failure_domain,
            "fleet": self.store.fleet,
            "founders": self.store.founders,
            "mayFound": self.store.may_found,
            "proposal": self.store.proposal,
            "sees": sorted({self.store.store, *(each.store for each in self.control_peers.alive(now_ms))}),
            "owns": owns,
            "promised": {part: each.promised for part, each in self.store.acceptors.items()},
            "generations": self.news.generations(),
            "sessions": self.sessions.own(now_ms),
            "digest": self.sessions.digest(now_ms),
            **({"leaving": True} if self.leaving else {}),
        }

    def _claim(self, part: str, document: Document, now_ms: float) -> Message:
        age_ms = self.confirmation_age_ms(part, now_ms)
        claim = {"ballot": self.proposers[part].ballot, "generation": document["generation"]}
        if age_ms is None:
            return {**claim, "confirmed": False}
        return {**claim, "confirmed": True, "confirmedAgeMs": age_ms}

    def hear_control_peer(self, body: Message, peer: str, asked_ms: float | None) -> None:
        control_peer, now_ms = ControlPeer.read(body, peer), self.world.now_ms()
        foreign = control_peer.fleet and self.store.fleet and control_peer.fleet != self.store.fleet
        if control_peer.store == self.store.store or foreign:
            return
        self.control_peers.heard(control_peer, now_ms, asked_ms)
        self.sessions.told(control_peer.store, control_peer.sessions, now_ms)
        self.sessions.told_digest(control_peer.store, control_peer.digest, now_ms, asked_ms)
        for part, proposer in self.proposers.items():
            proposer.highest = max(proposer.highest, control_peer.promised.get(part, (0, ""))[0])
            if (
                proposer.owns()
                and part in control_peer.owns
                and read_ballot(control_peer.owns[part]["ballot"]) > proposer.ballot
            ):
                proposer.step_down(f"{control_peer.name} owns it by a later ballot.")
            elif self._outvoted(part):
                proposer.step_down("A majority is out of reach: later ballots are promised.")

    def _outvoted(self, part: str) -> bool:
        """As owner: whether those not known to have promised a later ballot are no majority, so that no commit can be.

        A candidate may get a majority's promises and then fail to have anything accepted. It does not own the part and
        nobody else stands for it while this node claims it, so only the promises tell.
        """
        proposer = self.proposers[part]
        if not proposer.owns() or proposer.document is None:
            return False
        group, former = proposer.document["group"], proposer.document["former"]
        later = {
            control_peer.store
            for control_peer in self.control_peers.by_store.values()
            if control_peer.promised.get(part, proposer.ballot) > proposer.ballot
        }
        if self.store.acceptors[part].promised > proposer.ballot:
            later.add(self.store.store)
        return not majority({*group, *former} - later, group, former)

    async def beat_all(self) -> None:
        while True:
            self.control_peers.forget_silent(self.world.now_ms())
            for address in sorted(self.control_peers.addresses):
                self.group.start_soon(self._beat_one, address)
            await self.tempo.pause(BEAT_MS)

    async def _beat_one(self, address: str) -> None:
        asked_ms = self.world.now_ms()
        try:
            if address in self.control_peers.routing or address not in self.control_peers.met:
                await self._ask_who(address)
            if address in self.control_peers.routing:
                return
            answer = await self.book.ask(address, "kin.beat", self.beat_body(), CONTROL_SILENT_MS)
            have = self.news.generations()
            with reading("beat", address):
                self.hear_control_peer(answer, address, asked_ms)
                behind = any(generation > have.get(part, -1) for part, generation in answer["generations"].items())
            if behind:
                asked = {"have": have, "holdMs": 0}
                followed = await self.book.ask(address, "news.follow", asked, lane=Lane.BULK, stall_ms=NEWS_STALL_MS)
                self.news.take_in(field(followed, "news", dict, address), address)
        except FleetError as error:
            _log.debug("A beat went unanswered. {}", error)

    async def _ask_who(self, address: str) -> None:
        """Ask a process what it is before the first beat to it; a seed may be of any kind."""
        body = {"plane": "control", "address": self.startup.address}
        answer = await self.book.ask(address, "peer.who", body, ASK_WAIT_MS)
        self.control_peers.met.add(address)
        routing = field(answer, "plane", str, address) == "routing"
        (self.control_peers.routing.add if routing else self.control_peers.routing.discard)(address)
        for each in field(answer, "controls", list, address):
            if each != self.startup.address:
                self.control_peers.addresses.add(str(each))
