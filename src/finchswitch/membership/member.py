"""A routing node's place among the others: its session with control, its peers, and whether it may grant.

``may_grant`` is asked at each grant by a clock that counts freezes. With current control in the last moments
the node serves; without, it needs to have heard half of the peers it knew, and nothing newer from them than it
holds. After any gap it serves again only when what it holds is confirmed.
"""

import anyio

from finchswitch.bounds import Bounds
from finchswitch.constants import (
    BEAT_MS,
    CONFIGURATION_PART,
    CONTROL_GRACE_MS,
    CONTROL_SILENT_MS,
    CURRENT_MOST_MS,
    FORGET_MS,
    PEER_BEAT_MS,
    PEER_SILENT_BEATS,
    PEER_SILENT_MS,
)
from finchswitch.distribution import NewsBook
from finchswitch.errors import FleetError
from finchswitch.logs import prefix
from finchswitch.membership.controls import Controls
from finchswitch.membership.node_state import NODE_TRANSITIONS, NodeEvent, NodeState
from finchswitch.membership.ring import ring_neighbours
from finchswitch.membership.tempo import Tempo
from finchswitch.membership.word import Word, check_beat
from finchswitch.state_machines import StateMachine
from finchswitch.transport import Book, Message, World, field, reading

__all__ = ["Member", "NodeState"]

_log = prefix("kinship")


_NEVER = -1e18
_NEVER_AGE_MS = 1e9


class Member:
    def __init__(
        self, world: World, book: Book, news: NewsBook, card: Message, seeds: list[str], bounds: Bounds | None = None
    ) -> None:
        self._world, self._book, self._news = world, book, news
        self.card = card  # name, address, http, district, incarnation
        self._state_machine = StateMachine(NODE_TRANSITIONS, card["name"])
        bounds = bounds or Bounds()
        self._alone, self._peers_most = bounds.serves_alone, bounds.peers_most
        self._digest_beat_ms = bounds.digest_beat_ms
        self._members_mark = ""
        self.others: Message | None = None  # what all other nodes say, merged; None where peers are heard one by one
        self.controls = Controls(world, book, card["address"], seeds)
        self.members: list[Message] = []
        self._listed = False
        self._current_ms = _NEVER
        self._told: dict[str, int] = {}
        self.peers: dict[str, Message] = {}
        self.heard_ms: dict[str, float] = {}
        self.tempo, self.peer_tempo = Tempo(world), Tempo(world)
        self._fetching = False

    @property
    def state(self) -> NodeState:
        return self._state_machine.state

    def wants(self) -> dict[str, int]:
        """The newest generations heard of from anyone."""
        wanted = dict(self._told)
        for name, beat in self.peers.items():
            if self._hears(name, self._world.now_ms()):
                for part, generation in beat["generations"].items():
                    wanted[part] = max(wanted.get(part, -1), generation)
        return wanted

    def _hears(self, name: str, now_ms: float) -> bool:
        silent_ms = max(PEER_SILENT_MS, PEER_SILENT_BEATS * self._peer_beat_ms())
        return now_ms - self.heard_ms.get(name, _NEVER) <= silent_ms

    def known(self) -> list[str]:
        """The other nodes that this one knows: the last list by control, or who spoke before any list came."""
        names = [each["name"] for each in self.members] if self._listed else list(self.peers)
        return [each for each in names if each != self.card["name"]]

    def control_age_ms(self) -> float:
        """How long ago a control node surely was current, as heard here; a very large number before the first."""
        return min(self._world.now_ms() - self._current_ms, _NEVER_AGE_MS)

    def _controlled(self) -> bool:
        return self.control_age_ms() <= CONTROL_GRACE_MS

    def _confirmed(self) -> bool:
        now_ms, held = self._world.now_ms(), self._news.generation(CONFIGURATION_PART)
        if self._controlled():
            return held >= self._told.get(CONFIGURATION_PART, 0)
        known = self.known()
        heard = [name for name in known if self._hears(name, now_ms)]
        newest = max((self.peers[name]["generations"].get(CONFIGURATION_PART, -1) for name in heard), default=-1)
        return bool(known) and 2 * len(heard) >= len(known) and held >= newest

    def may_send(self) -> bool:
        """Whether a seat granted before may still be used: the node has not slept meanwhile, nor been cut off."""
        if self._alone and self._state_machine.state is not NodeState.JOINING:
            return True
        return self._controlled() or self._confirmed()

    def may_grant(self) -> bool:
        """Whether this node may grant a seat now; the one place where its readiness changes."""
        held = self._news.generation(CONFIGURATION_PART)
        if self._state_machine.state is NodeState.STOPPING:
            return False
        controlled, confirmed = self._controlled(), self._confirmed()
        if held >= 1 and confirmed and self._state_machine.state is not NodeState.SERVING:
            self._state_machine.take(NodeEvent.CONFIRMED)
            _log.info("Serving generation {}{}.", held, "" if controlled else ", by the word of peers")
        elif not confirmed and not controlled and not self._alone and self._state_machine.state is NodeState.SERVING:
            self._state_machine.take(NodeEvent.CUT)
            _log.warning("Cut off; no seats until control or half of the peers are heard.")
        return self._state_machine.state is NodeState.SERVING

    def stop(self) -> None:
        self._state_machine.take(NodeEvent.STOP)

    def many(self) -> bool:
        """Whether there are more nodes than this one beats, so that it hears of the others in digests only."""
        return self._peers_most is not None and len(self.members) - 1 > self._peers_most

    def hears_digests(self) -> bool:
        """Whether control lately told what all nodes carry; peers' beats may be further apart then."""
        return self.many() and self.others is not None and self._controlled()

    def _peer_beat_ms(self) -> float:
        return self._digest_beat_ms if self.hears_digests() else PEER_BEAT_MS

    async def keep_session(self, own_word: Word) -> None:
        """The session with one control node after another."""
        while self.state is not NodeState.STOPPING:
            if not self.controls.chosen and not self.controls.elsewhere():
                await self.controls.ask_seeds()
                await self.tempo.pause(BEAT_MS)
                continue
            body = {**self.card, "generations": self._news.generations()}
            if self.many():
                body.update({"membersMark": self._members_mark, "word": own_word.digest()})
            asked_ms = self._world.now_ms()
            try:
                answer = await self._book.ask(self.controls.chosen, "session.beat", body, CONTROL_SILENT_MS)
                with reading("session", self.controls.chosen):
                    current = self._hear_control(answer, asked_ms)
                    own_word.hear_control(asked_ms)
            except FleetError as error:
                _log.info("No session with {}. {}", self.controls.chosen, error)
                current = False
            if not current:
                await self.controls.find_current()
            self.may_grant()
            await self.tempo.pause(BEAT_MS if self.controls.chosen else BEAT_MS / 4)

    def _hear_control(self, answer: Message, asked_ms: float) -> bool:
        """Take in a control node's answer; whether it is current. Its word counts from its majority's confirmation."""
        controls, generations = field(answer, "controls", list), field(answer, "generations", dict)
        for part, generation in generations.items():
            self._told[part] = max(self._told.get(part, -1), generation)
        if answer.get("current") is not True:
            return False
        self._current_ms = max(self._current_ms, asked_ms - float(answer.get("currentAgeMs", CURRENT_MOST_MS)))
        self.controls.hear(controls)
        if "members" in answer:
            self.members, self._listed = field(answer, "members", list), True
            self._members_mark = str(answer.get("membersMark", ""))
        self.others = {**answer["others"], "heardMs": asked_ms} if "others" in answer else None
        return True

    async def beat_peers(self, own_word: Word) -> None:
        """Tell every peer known this node's word, and hear theirs."""
        while True:
            self._forget_silent()
            word = self.word(own_word)
            for address in self._drawn_peers():
                if address != self.card["address"]:
                    own_word.group.start_soon(self._beat_one, address, word, own_word)
            await self.peer_tempo.pause(self._peer_beat_ms())

    def _drawn_peers(self) -> list[str]:
        """Whom to beat: everybody, or of many the next in the order of names, the second, the fourth, and so on."""
        if not self.many():
            return sorted({each["address"] for each in [*self.members, *self.peers.values()]})
        return ring_neighbours(self.card["name"], self.members, self._peers_most or 1)

    def _forget_silent(self) -> None:
        """Peers that control does not list and that have been silent for long."""
        now_ms, listed = self._world.now_ms(), {each["name"] for each in self.members}
        if self._controlled():
            for name in [each for each in self.peers if each not in listed]:
                if now_ms - self.heard_ms.setdefault(name, now_ms) > FORGET_MS:
                    del self.peers[name], self.heard_ms[name]

    async def _beat_one(self, address: str, word: Message, own_word: Word) -> None:
        asked_ms = self._world.now_ms()
        try:
            answer = await self._book.ask(address, "peer.beat", word, PEER_SILENT_MS)
            self.hear_peer(answer, asked_ms)
            own_word.hear(answer, asked_ms)
        except FleetError as error:
            _log.debug("A peer is silent or speaks badly. {}", error)

    async def fetch(self, address: str, own_word: Word) -> None:
        """Ask a peer at once that showed something newer; one such ask at a time, as many peers show the same."""
        if self._fetching:
            return
        self._fetching = True
        try:
            await self._beat_one(address, self.word(own_word), own_word)
        finally:
            self._fetching = False

    def word(self, own_word: Word) -> Message:
        return {**self.card, "generations": self._news.generations(), **own_word.speak()}

    def hear_peer(self, beat: Message, asked_ms: float) -> None:
        """A peer's answer to a beat; it counts from the moment that beat was sent."""
        check_beat(beat)
        name = beat["name"]
        self.peers[name] = {**beat, "heardMs": asked_ms}
        self.heard_ms[name] = max(self.heard_ms.get(name, _NEVER), asked_ms)

    def meet_peer(self, beat: Message) -> None:
        """A peer's own beat: it shows that there is such a peer, not when it spoke, as it may have lain in a buffer."""
        check_beat(beat)
        self.peers.setdefault(beat["name"], beat)

    def heard_peers(self) -> list[Message]:
        """The last answers of peers that answered lately; one that was only met has not answered yet."""
        now_ms = self._world.now_ms()
        return [beat for name, beat in self.peers.items() if "heardMs" in beat and self._hears(name, now_ms)]

    async def leave(self) -> None:
        """End the session cleanly, at every control node that may hold it."""
        async with anyio.create_task_group() as group:
            for address in self.controls.addresses:
                group.start_soon(self._leave_at, address)

    async def _leave_at(self, address: str) -> None:
        try:
            await self._book.ask(address, "session.leave", {"name": self.card["name"]}, BEAT_MS)
        except FleetError as error:
            _log.info("A leave went unheard. {}", error)
