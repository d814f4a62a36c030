"""A control node: its store, its kin, the sessions it holds, and the registers it may own.

The council beats to the other control nodes, answers what they and the routing nodes ask, and says who owns a
part and how current its own knowledge is. What is committed becomes news. Standing, founding and swapping are
in ``tending``, votes in ``voting``, changes in ``change``.
"""

from typing import Any

import anyio
from anyio.abc import TaskGroup

from finchswitch.accord.acceptor import read_ballot
from finchswitch.accord.document import Ballot, Document, part_names
from finchswitch.accord.register import Register, majority
from finchswitch.accord.store import Store
from finchswitch.accord.voting import Chamber
from finchswitch.bounds import Bounds
from finchswitch.constants import ASK_WAIT_MS, BEAT_MS, CONTROL_SILENT_MS
from finchswitch.kinship.kin import Kin, Kindred
from finchswitch.kinship.sessions import Sessions
from finchswitch.kinship.tempo import Tempo
from finchswitch.logs import prefix
from finchswitch.mishap import Mishap
from finchswitch.relay import NewsBook
from finchswitch.shelf import Disk
from finchswitch.wire import Book, Message, World, field, reading

__all__ = ["Council"]

_log = prefix("accord")


class Council:
    def __init__(self, world: World, disk: Disk, startup: Any, group: TaskGroup) -> None:
        self.world, self.startup, self.group = world, startup, group
        self.started_ms = world.now_ms()
        self.bounds: Bounds = startup.bounds
        self.group_size = 2 * self.bounds.tolerance + 1  # acceptors a part: a majority is left after the losses
        self.store = Store(world, disk, startup.name)
        self.kindred = Kindred(startup.address, startup.seeds)
        self.sessions = Sessions()
        self.news = NewsBook()
        self.book = Book(world, group)
        self.tempo = Tempo(world)
        self.chamber = Chamber(self.store, self.kindred, self.book, group)
        self.registers = {part: Register(part, self.store.store, self.chamber) for part in part_names()}
        for part, acceptor in self.store.acceptors.items():
            self.registers[part].highest = acceptor.promised[0]

    def publish(self, part: str, document: Document) -> None:
        if self.news.take(part, document["generation"], document["body"]):
            self.tempo.kick()

    def announce(self, part: str) -> None:
        """Tell the group that what this owner just had accepted is committed."""
        register = self.registers[part]
        document = register.document
        if document is None:
            return
        self.publish(part, document)
        body = {"part": part, "ballot": register.ballot, "step": document["step"]}
        back, _ = anyio.create_memory_object_stream[Any](16)
        for store in document["group"]:
            if store != self.store.store:
                self.chamber.later(store, "vote.commit", body, ASK_WAIT_MS, back)

    def owner_of(self, part: str, now_ms: float) -> tuple[str, Ballot]:
        """The store that claims the part by the highest ballot, among those alive; empty when none does."""
        best: tuple[Ballot, str] = ((0, ""), "")
        if self.registers[part].owns():
            best = (self.registers[part].ballot, self.store.store)
        for kin in self.kindred.alive(now_ms):
            if part in kin.owns:
                best = max(best, (read_ballot(kin.owns[part]["ballot"]), kin.store))
        return best[1], best[0]

    def confirmed(self, part: str, now_ms: float) -> bool:
        """As owner: whether a majority lately answered that no higher ballot is promised there."""
        register = self.registers[part]
        if not register.owns() or register.document is None:
            return False
        yes = {self.store.store} if self.store.acceptors[part].promised == register.ballot else set[str]()
        for kin in self.kindred.by_store.values():
            lately = now_ms - kin.asked_ms <= CONTROL_SILENT_MS
            if lately and kin.promised.get(part) == register.ballot:
                yes.add(kin.store)
        return majority(yes, register.document["group"], register.document["former"])

    def current(self, part: str, now_ms: float) -> bool:
        """Whether what this node holds of a part is lately known to be the newest."""
        document = self.registers[part].document
        if document is not None and self.confirmed(part, now_ms):
            return bool(document["generation"] <= self.news.generation(part))
        for kin in self.kindred.by_store.values():
            claim = kin.owns.get(part)
            if claim and claim["confirmed"] and now_ms - kin.asked_ms <= CONTROL_SILENT_MS:
                return bool(claim["generation"] <= self.news.generation(part))
        return False

    def beat_body(self) -> Message:
        now_ms = self.world.now_ms()
        owns = {
            part: {
                "ballot": register.ballot,
                "generation": register.document["generation"],
                "confirmed": self.confirmed(part, now_ms),
            }
            for part, register in self.registers.items()
            if register.owns() and register.document is not None
        }
        return {
            "store": self.store.store,
            "name": self.startup.name,
            "address": self.startup.address,
            "http": self.startup.http,
            "district": self.startup.district,
            "fleet": self.store.fleet,
            "founders": self.store.founders,
            "sees": sorted({self.store.store, *(each.store for each in self.kindred.alive(now_ms))}),
            "owns": owns,
            "promised": {part: each.promised for part, each in self.store.acceptors.items()},
            "generations": self.news.generations(),
            "sessions": self.sessions.own(now_ms),
            "digest": self.sessions.digest(),
        }

    def hear_kin(self, body: Message, peer: str, asked_ms: float | None) -> None:
        kin, now_ms = Kin.read(body, peer), self.world.now_ms()
        foreign = kin.fleet and self.store.fleet and kin.fleet != self.store.fleet
        if kin.store == self.store.store or foreign:
            return
        self.kindred.heard(kin, now_ms, asked_ms)
        self.sessions.told(kin.store, kin.sessions, now_ms)
        self.sessions.told_digest(kin.store, kin.digest, now_ms)
        for part, register in self.registers.items():
            register.highest = max(register.highest, kin.promised.get(part, (0, ""))[0])
            if register.owns() and part in kin.owns and read_ballot(kin.owns[part]["ballot"]) > register.ballot:
                register.step_down(f"{kin.name} owns it by a later ballot.")

    async def beat_all(self) -> None:
        while True:
            self.kindred.forget_silent(self.world.now_ms())
            for address in sorted(self.kindred.addresses):
                self.group.start_soon(self._beat_one, address)
            await self.tempo.pause(BEAT_MS)

    async def _beat_one(self, address: str) -> None:
        asked_ms = self.world.now_ms()
        try:
            if address in self.kindred.routing or address not in self.kindred.met:
                await self._ask_who(address)
            if address in self.kindred.routing:
                return
            answer = await self.book.ask(address, "kin.beat", self.beat_body(), CONTROL_SILENT_MS)
            have = self.news.generations()
            with reading("beat", address):
                self.hear_kin(answer, address, asked_ms)
                behind = any(generation > have.get(part, -1) for part, generation in answer["generations"].items())
            if behind:
                followed = await self.book.ask(address, "news.follow", {"have": have, "holdMs": 0})
                self.news.take_in(field(followed, "news", dict, address), address)
        except Mishap as mishap:
            _log.debug("A beat went unanswered. {}", mishap)

    async def _ask_who(self, address: str) -> None:
        """Ask a process what it is before the first beat to it; a seed may be of any kind."""
        body = {"plane": "control", "address": self.startup.address}
        answer = await self.book.ask(address, "peer.who", body, ASK_WAIT_MS)
        self.kindred.met.add(address)
        routing = field(answer, "plane", str, address) == "routing"
        (self.kindred.routing.add if routing else self.kindred.routing.discard)(address)
        for each in field(answer, "controls", list, address):
            if each != self.startup.address:
                self.kindred.addresses.add(str(each))
