"""A routing node: what it holds, and the seats it grants.

The node owns no truth. Configuration, hot sets and plans come as news, runners from the platform's list, burden
from its own seats and its peers' word. ``grant`` puts them together for one prompt.
"""

from typing import Any

from anyio.abc import TaskGroup

from finchswitch.accord.document import part_of
from finchswitch.affinity import Beliefs, Burdens, Choices, Drawn, Draws, Opening, Popularity, Seatable, owners
from finchswitch.constants import CREED_PART, FORGET_MS, HOT_MOST
from finchswitch.creed import Creed, read_creed
from finchswitch.kinship.member import Member
from finchswitch.relay import NewsBook
from finchswitch.relay.follow import Follower
from finchswitch.transit.duties import Duties
from finchswitch.transit.plans import PlanPhase, runners_under
from finchswitch.transit.prompt import Prompt, Refusal
from finchswitch.transit.proof import Ticket
from finchswitch.transit.roster import Roster
from finchswitch.transit.seat import Seat
from finchswitch.transit.sent import Sent
from finchswitch.transit.tries import Tries
from finchswitch.wire import Book, Message, World

__all__ = ["Node"]


class Node:
    def __init__(self, world: World, startup: Any, group: TaskGroup) -> None:
        self.world, self.group, self.startup = world, group, startup
        self.book, self.news = Book(world, group), NewsBook()
        card = {
            "name": startup.name,
            "address": startup.address,
            "http": startup.http,
            "district": startup.district,
            "incarnation": world.chance.randbytes(6).hex(),
        }
        self.member = Member(world, self.book, self.news, card, startup.seeds)
        self.follower = Follower(world, self.book, self.news, self.member)
        self.roster = Roster(world, startup.platform, self)
        self.beliefs, self.burdens = Beliefs(), Burdens()
        self.draws = Draws(self.beliefs, self.burdens, world.chance)
        self.tries, self.duties = Tries(), Duties(self)
        self.underway: set[str] = set()
        self.sent = Sent()
        self.vitals = dict.fromkeys(("asked", "complete", "broken", "not-run", "unknown", "granted"), 0)
        self.ways: dict[str, int] = {}
        self.stopping = False
        self._popularity: dict[str, Popularity] = {}
        self._creed: tuple[int, Creed] = (-1, Creed())
        self._bound: dict[str, str] = {}  # the binding of each service; a checked configuration has one at the most

    def fresh_id(self) -> str:
        return f"fs-{self.world.chance.randbytes(12).hex()}"

    def generation(self) -> int:
        return self.news.generation(CREED_PART)

    def creed(self) -> Creed:
        """The configuration in effect here, read once a generation."""
        if self._creed[0] != self.generation():
            self._creed = (self.generation(), read_creed(self.news.body(CREED_PART)).value_or(self._creed[1]))
            self._bound = {binding.service: name for name, binding in self._creed[1].bindings.items()}
        return self._creed[1]

    def tries_share(self) -> float:
        return self.creed().settings.tries_share

    def may_grant(self) -> bool:
        return self.member.may_grant()

    def permits(self, incarnation: str, ticket: Ticket | None) -> bool:
        """Asked last before anything is put on a connection; a request is judged by what is held now, and noted."""
        if not (self.member.may_send() and self.roster.sendable(incarnation)):
            return False
        if ticket is None:
            return True
        able = self.runners_of(ticket.service, ticket.digest)
        ticket.refused = able is None or ticket.runner not in able[0]
        if not ticket.refused:
            ticket.generation = self.generation()
            self.sent.note(ticket.request_id, ticket.repeatable, self.world.now_ms())
        return not ticket.refused

    def popularity(self, service: str) -> Popularity:
        return self._popularity.setdefault(service, Popularity())

    def called(self) -> dict[str, tuple[float, dict[str, float]]]:
        """The highest counts of each service that was called lately."""
        now_ms = self.world.now_ms()
        tops = {name: each.top(2 * HOT_MOST, now_ms) for name, each in self._popularity.items()}
        return {name: top for name, top in tops.items() if top[0] >= 1.0}

    def count_opening(self, opening: Opening) -> None:
        """Count a prompt by what it takes of a home, served or not: its own prefill, or its part of the slots."""
        creed = self.creed()
        name = self._bound.get(opening.service)
        if name is not None:
            bound = [creed.runners[each] for each in creed.bindings[name].runners]
            prefill_ms = 1000 * opening.own_tokens / min(each.prefill_tokens_per_s for each in bound)
            slot_ms = self.burdens.service_ms(opening.service) / min(each.slots for each in bound)
            self.popularity(opening.service).count(opening.digest, max(prefill_ms, slot_ms), self.world.now_ms())

    def hot(self, service: str) -> list[str]:
        record = self.news.body(part_of(f"hot/{service}")).get("hot", {}).get(service)
        return list(record["openings"]) if record else []

    def plan_state(self, plan: str) -> dict[str, Any] | None:
        record: dict[str, Any] | None = self.news.body(part_of(f"plan/{plan}")).get("plans", {}).get(plan)
        return record

    def runners_of(self, service: str, digest: str) -> tuple[list[str], list[str]] | None:
        """The runners that may serve a service now, and those that own the opening; None without a binding."""
        creed = self.creed()
        name = self._bound.get(service)
        if name is None:
            return None
        binding = creed.bindings[name]
        for plan_name, plan in creed.plans.items():
            if name in plan.bindings:
                held = self.plan_state(plan_name)
                before, after, share = runners_under(plan, binding.runners, held)
                phase = PlanPhase(held["phase"]) if held else PlanPhase.WAITING
                if phase in (PlanPhase.WAITING, PlanPhase.RETURNED):
                    return before, before
                if phase in (PlanPhase.DRAINING, PlanPhase.DONE):
                    return after, after
                return sorted({*before, *after}), owners(digest, before, after, share)
        return binding.runners, binding.runners

    def grant(self, prompt: Prompt, tried: set[str], began_ms: float) -> tuple[Drawn, float] | Refusal:
        """A seat for the prompt and the time left until its due, or why there is none."""
        if not self.may_grant():
            return Refusal(503, f"this node is {self.member.state.value}")
        creed, opening, now_ms = self.creed(), prompt.opening, self.world.now_ms()
        service = creed.services.get(prompt.service)
        if service is None:
            return Refusal(404, "model: no such service")
        able = self.runners_of(prompt.service, opening.digest)
        if able is None:
            return Refusal(503, "no binding for this service")
        up = self.roster.up()
        seatable = [
            Seatable(name, up[name].incarnation, creed.runners[name].slots, creed.runners[name].prefill_tokens_per_s)
            for name in able[0]
            if name in up and name not in tried
        ]
        if not seatable:
            return Refusal(503, "no runner may be sent to now")
        due_ms = (prompt.due_ms or float(service.due_ms)) - (now_ms - began_ms)
        choices = Choices(self.hot(prompt.service), seatable, able[1], creed.settings.spill_share)
        drawn = self.draws.draw(opening, choices, due_ms, now_ms)
        if drawn is None:
            return Refusal(429, "no runner can give a timely first token")
        return drawn, due_ms

    async def forget_gone(self) -> None:
        """Forget incarnations that are long unlisted and carry nothing of ours."""
        while True:
            await self.world.sleep(FORGET_MS / 4)
            for incarnation in self.roster.long_gone():
                if not self.burdens.busy(incarnation):
                    self.burdens.forget(incarnation)
                    self.beliefs.forget(incarnation)
                    await self.roster.forget(incarnation)

    def take_seat(self, drawn: Drawn) -> Seat:
        self.vitals["granted"] += 1
        self.ways[drawn.way.value] = self.ways.get(drawn.way.value, 0) + 1
        return Seat(self.world, drawn, self.burdens, self.beliefs)

    def speak(self) -> Message:
        """What this node adds to its beats to peers."""
        now_ms = self.world.now_ms()
        return {
            "burden": self.burdens.spoken(now_ms),
            "held": self.beliefs.spoken(now_ms),
            "pace": self.burdens.paces.spoken(now_ms),
            "leaving": self.roster.leaving(),
            "listAgeMs": self.roster.list_age_ms(),
            "counts": self.called(),
            "vitals": self.duties.words(),
        }

    def hear(self, beat: Message) -> None:
        """What a peer's beat added."""
        self.roster.hear_peer(beat["leaving"], beat["listAgeMs"])
        self.duties.hear(beat["vitals"])
        heard = self.member.heard_peers()
        self.burdens.hear_peers(heard, self.world.now_ms())
        self.beliefs.hear_peers(heard)
