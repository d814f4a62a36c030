"""A routing node: what it holds, and the seats it grants.

The node owns no truth. Configuration, hot sets and plans come as news, runners from the platform's list, burden
from its own seats and its peers' word. ``grant`` puts them together for one prompt.
"""

from collections.abc import Callable
from typing import Any

import httpx
from anyio.abc import TaskGroup

from finchswitch.affinity import Beliefs, Burdens, Choices, Drawn, Draws, Seatable, owners
from finchswitch.bounds import Bounds
from finchswitch.configuration import Configuration, Service, read_configuration
from finchswitch.configuration.routes import RouteTable
from finchswitch.constants import CONFIGURATION_PART, FORGET_MS, TRIES_FLOOR, TRUST_MS
from finchswitch.control.document import part_of
from finchswitch.distribution import NewsBook
from finchswitch.distribution.follow import Follower
from finchswitch.lifecycle import Lifecycle
from finchswitch.membership.member import Member
from finchswitch.router.crowds import Crowds
from finchswitch.router.dialect import AttemptError, Call, Dialect, Refusal
from finchswitch.router.duties import Duties
from finchswitch.router.own import OwnDialect
from finchswitch.router.plans import PlanPhase, runners_under
from finchswitch.router.platform import Lister, SliceLister
from finchswitch.router.proof import Ticket
from finchswitch.router.roster import Roster
from finchswitch.router.seat import Seat
from finchswitch.router.sent import Sent
from finchswitch.router.tries import Tries
from finchswitch.router.watch import Watch
from finchswitch.router.word import NodeWord
from finchswitch.transport import Book, World

__all__ = ["Node"]


class Node:
    def __init__(
        self,
        world: World,
        startup: Any,
        group: TaskGroup,
        dialect: Dialect | None = None,
        lister: Callable[[httpx.AsyncClient, str], Lister] = SliceLister,
    ) -> None:
        self.world, self.group, self.startup = world, group, startup
        self.bounds: Bounds = startup.bounds
        self.dialect: Dialect = dialect or OwnDialect()
        self.book, self.news = Book(world, group), NewsBook()
        card = {
            "name": startup.name,
            "address": startup.address,
            "http": startup.http,
            "district": startup.district,
            "incarnation": world.chance.randbytes(6).hex(),
        }
        self.member = Member(world, self.book, self.news, card, startup.seeds, self.bounds)
        self.follower = Follower(world, self.book, self.news, self.member, self.bounds.follow_hold_ms)
        client = httpx.AsyncClient(transport=world.http_transport(), trust_env=False)
        self.roster = Roster(world, lister(client, startup.platform), self, self.bounds, self.dialect.kept)
        self.roster.changed = self.member.peer_tempo.kick
        self.beliefs, self.burdens = Beliefs(), Burdens()
        self.draws = Draws(self.beliefs, self.burdens, world.chance)
        self.crowds, self.watch = Crowds(self), Watch(self)
        self.tries, self.duties = Tries(self.bounds.tries_window_ms), Duties(self)
        self.word = NodeWord(self)
        self.underway: set[str] = set()
        self.sent = Sent()
        self.vitals = dict.fromkeys(("asked", "complete", "broken", "not-run", "unknown", "granted"), 0)
        self.ways: dict[str, int] = {}
        self.refusals: dict[str, int] = {}  # requests refused before any try, by status and reason
        self.stopping, self._granted = False, False
        self.lifecycle = Lifecycle("transit")
        self._configuration: tuple[int, Any, Configuration] = (-1, {}, Configuration())
        self._table = RouteTable(Configuration())
        self.bound: dict[str, str] = {}  # the binding of each service; a checked configuration has one at the most

    def fresh_id(self) -> str:
        return f"fs-{self.world.chance.randbytes(12).hex()}"

    def generation(self) -> int:
        return self.news.generation(CONFIGURATION_PART)

    def configuration(self) -> Configuration:
        """The configuration in effect here, read once a generation."""
        if self._configuration[0] != self.generation():
            _, before, configuration = self._configuration
            body = self.news.body(CONFIGURATION_PART)
            configuration = read_configuration(body, (before, configuration)).value_or(configuration)
            self._configuration, self._table = (self.generation(), body, configuration), RouteTable(configuration)
            self.bound = {binding.service: name for name, binding in configuration.bindings.items()}
        return self._configuration[2]

    def routes(self) -> RouteTable:
        """The routes in effect here."""
        self.configuration()
        return self._table

    def may_try_again(self, service: str) -> bool:
        """Whether the budget of extra tries has room for one more now; if so it is counted."""
        share = (
            self.configuration().settings.tries_share if self.bounds.tries_share is None else self.bounds.tries_share
        )
        floor = self.bounds.tries_floor(len(self.member.members), TRIES_FLOOR)
        return self.tries.take(share, self.world.now_ms(), service, floor)

    def missed(self, incarnation: str, error: AttemptError) -> None:
        """A try at a runner ended in an error: one that cannot be reached, or answers nothing, is passed over."""
        known = self.roster.known.get(incarnation)
        if known is None:
            return
        if error.step == "connect":
            self.roster.down(known, error.reason)
        elif self.dialect.kept and error.step not in ("permit", "silence", "limit"):
            self.roster.suspect(known, error.reason)

    def may_grant(self) -> bool:
        may = self.member.may_grant()
        if may and not self._granted and self.generation() > 1:
            self.beliefs.trusting_until_ms = self.world.now_ms() + TRUST_MS
        self._granted = self._granted or may
        return may

    @property
    def has_granted(self) -> bool:
        """Whether this node ever might grant seats; until then nobody can have been handed to it as ready."""
        return self._granted

    def ready(self) -> bool:
        """Whether callers may be handed to this node."""
        return self.may_grant() and not self.stopping and bool(self.roster.up())

    def permits(self, incarnation: str, ticket: Ticket | None) -> bool:
        """Asked last before anything is put on a connection; a request is judged by what is held now, and noted."""
        if not (self.member.may_send() and self.roster.sendable(incarnation)):
            return False
        if ticket is None:
            return True
        able = self.runners_of(ticket.service, ticket.digest)
        ticket.refused, ticket.incarnation = able is None or ticket.runner not in able[0], incarnation
        if not ticket.refused:
            ticket.generation = self.generation()
            self.sent.note(ticket.request_id, ticket.repeatable, self.world.now_ms())
        return not ticket.refused

    def plan_state(self, plan: str) -> dict[str, Any] | None:
        record: dict[str, Any] | None = self.news.body(part_of(f"plan/{plan}")).get("plans", {}).get(plan)
        return record

    def runners_of(self, service: str, digest: str) -> tuple[list[str], list[str]] | None:
        """The runners that may serve a service now, and those that own the opening; None without a binding."""
        configuration = self.configuration()
        name = self.bound.get(service)
        if name is None:
            if service not in configuration.services or not configuration.services[service].listed:
                return None
            listed = self.roster.serving(service)
            return listed, listed
        binding = configuration.bindings[name]
        for plan_name, plan in configuration.plans.items():
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

    def grant(self, call: Call, tried: set[str], began_ms: float) -> tuple[Drawn, float] | Refusal:
        """A seat for the call and the time left until its first token is due, or why there is none."""
        if not self._may_grant_try(tried):
            return Refusal(503, f"this node is {self.member.state.value}")
        configuration, opening, now_ms = self.configuration(), call.opening, self.world.now_ms()
        service = configuration.services.get(call.service)
        if service is None:
            return Refusal(404, "model: no such service")
        able = self.runners_of(call.service, opening.digest)
        if able is None:
            return Refusal(503, "no binding for this service")
        seatable = self._seatable(call.service, service, able[0], tried)
        if not seatable:
            return Refusal(503, "no runner may be sent to now")
        due_ms = (call.due_ms or float(service.due_ms)) - (now_ms - began_ms)
        choices = Choices(self.crowds.hot(call.service), seatable, able[1], configuration.settings.spill_share)
        drawn = self.draws.draw(opening, choices, due_ms * self.bounds.aim_share, now_ms)
        if drawn is None and self.bounds.late_share > self.bounds.aim_share:
            drawn = self.draws.earliest(opening, choices, now_ms, call.rank)
            if drawn.first_ms > (call.due_ms or float(service.due_ms)) * self.bounds.late_share and not tried:
                return Refusal(429, "no runner can give a timely first token", drawn.first_ms - due_ms / 2)
        if drawn is None:
            return Refusal(429, "no runner can give a timely first token")
        return drawn, due_ms

    def _may_grant_try(self, tried: set[str]) -> bool:
        """A stopping node takes no request any more, but those that it took may go on at further runners."""
        return self.may_grant() or (bool(tried) and self.stopping and self.member.may_send())

    def has_another_runner(self, call: Call, tried: set[str]) -> bool:
        """Whether a call that was sent to these runners may be sent to one more, and one is there."""
        service = self.configuration().services.get(call.service)
        able = self.runners_of(call.service, call.opening.digest)
        if service is None or able is None or not self._may_grant_try(tried):
            return False
        is_last = call.most_runners is not None and len(tried) >= call.most_runners
        return not is_last and bool(self._seatable(call.service, service, able[0], tried))

    def _seatable(self, name: str, service: Service, able: list[str], tried: set[str]) -> list[Seatable]:
        """The able runners that may be sent to now and were not tried."""
        up, runners = self.roster.up(), self.configuration().runners
        if not service.listed:
            return [
                Seatable(each, up[each].incarnation, runners[each].slots, runners[each].prefill_tokens_per_s, name)
                for each in able
                if each in up and each not in tried
            ]
        return [
            Seatable(each, up[each].incarnation, up[each].listed.slots or service.slots, 0, name, service.memory_tokens)
            for each in able
            if each in up and each not in tried
        ]

    async def forget_gone(self) -> None:
        """Forget incarnations that are long unlisted and carry nothing of ours."""
        while True:
            await self.world.sleep(FORGET_MS / 4)
            for incarnation in list(self.roster.known):
                if self.roster.is_long_gone(incarnation) and not self.burdens.busy(incarnation):
                    self.burdens.forget(incarnation)
                    self.beliefs.forget(incarnation)
                    await self.roster.forget(incarnation)

    def take_seat(self, drawn: Drawn, rank: int) -> Seat:
        self.vitals["granted"] += 1
        self.ways[drawn.way.value] = self.ways.get(drawn.way.value, 0) + 1
        return Seat(self.world, drawn, self.burdens, self.beliefs, rank)
