"""Duties that one node does for all: reading a runner's vitals, merging a service's hot counts, advancing a plan.

Duties are cut by key over the live nodes. A node takes a key up by raising its fence in shared state, and does
it only while that fence stands; others ignore what comes under an older one.
"""

import hashlib
from typing import TYPE_CHECKING, Any

import httpx

from finchswitch.affinity import pick_hot
from finchswitch.constants import ASK_WAIT_MS, DUTY_MS, HOT_MOST, PLAN_STEP_MS
from finchswitch.control.document import part_of
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.logs import prefix
from finchswitch.router.plans import PlanSight, advance
from finchswitch.transport import Message

if TYPE_CHECKING:
    from finchswitch.router.node import Node

__all__ = ["Duties", "holder_of"]

_log = prefix("duties")


def holder_of(key: str, names: list[str]) -> str:
    """The live node that a key falls to.

    >>> names = ["n1", "n2", "n3"]
    >>> holder = holder_of("vitals/r1", names)
    >>> holder_of("vitals/r1", [each for each in names if each == holder or each == "n1"]) == holder
    True
    """
    return max(names, key=lambda name: hashlib.sha256(f"{key} {name}".encode()).digest(), default="")


class Duties:
    def __init__(self, node: "Node") -> None:
        self._node = node
        self.vitals: dict[str, list[Any]] = {}
        self._seen_fences: dict[str, int] = {}
        self._plan_ms: dict[str, float] = {}
        self._busy: set[str] = set()

    async def tend(self) -> None:
        """Take up every key that falls to this node; each is done by itself, so that a dark runner delays its own."""
        while True:
            await self._node.world.sleep(DUTY_MS)
            if not self._node.may_grant() or not self._node.member.members:
                continue
            mine = [key for key in self._keys() if self._mine(key)]
            self.vitals = {run: word for run, word in self.vitals.items() if f"vitals/{run}" in mine}
            for key in sorted(set(mine) - self._busy):
                self._busy.add(key)
                self._node.group.start_soon(self._attend, key)

    def _mine(self, key: str) -> bool:
        names = [each["name"] for each in self._node.member.members]
        return holder_of(key, names) == str(self._node.member.card["name"])

    def reads_list(self) -> bool:
        """Whether it falls to this node to read the platform's list for all. Two readers do no harm: no fence."""
        return self._mine("list")

    async def _attend(self, key: str) -> None:
        try:
            fence = await self._hold(key)
            if fence is not None:
                await self._do(key, fence)
        except FleetError as error:
            _log.info("Duty {} met an error. {}", key, error)
        finally:
            self._busy.discard(key)

    def _keys(self) -> list[str]:
        """The keys there are now; a service that nobody calls has none, however many are configured."""
        configuration = self._node.configuration()
        called = set(self._node.crowds.called())
        for beat in self._told():
            called.update(beat["counts"])
        vitals = self._node.bounds.vitals_poll_ms > 0
        keys = [f"vitals/{name}" for name in configuration.runners] if vitals else []
        keys += [f"hot/{name}" for name in sorted(called) if name in configuration.services]
        return keys + [f"plan/{name}" for name in configuration.plans]

    def _told(self) -> list[Message]:
        """What the other nodes count: each peer's word, or all of them as one."""
        others = self._node.member.others
        return self._node.member.heard_peers() if others is None else [others]

    def _fence(self, key: str) -> dict[str, Any] | None:
        record: dict[str, Any] | None = self._node.news.body(part_of(key)).get("fences", {}).get(key)
        return record

    def _me(self) -> str:
        return f"{self._node.member.card['name']}/{self._node.member.card['incarnation']}"

    async def _hold(self, key: str) -> int | None:
        """The fence under which this node holds the key; None when it has only just asked for it."""
        record = self._fence(key)
        if record is not None and record["holder"] == self._me():
            return int(record["fence"])
        following = {"holder": self._me(), "fence": (record["fence"] if record else 0) + 1}
        await self._edit(key, record, [{"kind": "fences", "name": key, "value": following}])
        return None

    async def _edit(self, key: str, guard: Any, edits: list[Message], also: list[Message] | None = None) -> None:
        guards = [{"kind": "fences", "name": key, "value": guard}, *(also or [])]
        body = {"part": part_of(key), "guards": guards, "edits": edits}
        await self._node.book.ask(self._node.member.controls.chosen, "part.edit", body, 2 * ASK_WAIT_MS)

    async def _do(self, key: str, fence: int) -> None:
        kind, _, name = key.partition("/")
        if kind == "vitals":
            await self._read_vitals(name, fence)
        elif kind == "hot":
            await self._merge_hot(key, name, fence)
        else:
            await self._advance_plan(key, name, fence)

    async def _read_vitals(self, name: str, fence: int) -> None:
        known = self._node.roster.up().get(name)
        if known is None:
            return
        asked_ms = self._node.world.now_ms()
        try:
            running = await self._node.dialect.probe(known)
        except httpx.HTTPError as error:
            if isinstance(error, (httpx.ConnectError, httpx.ConnectTimeout)):
                self._node.roster.down(known, str(error))
            raise FleetError(ErrorKind.SILENT, "vitals", name, repr(error)) from None
        self.vitals[name] = [fence, known.incarnation, running, asked_ms]
        self._node.burdens.report(known.incarnation, running, asked_ms)

    async def _merge_hot(self, key: str, name: str, fence: int) -> None:
        service, now_ms = self._node.configuration().services[name], self._node.world.now_ms()
        _, shares = self._node.crowds.popularity(name).top(4 * HOT_MOST, now_ms)
        for beat in self._told():
            _, told = beat["counts"].get(name, (0.0, {}))
            for digest, share in told.items():
                shares[digest] = shares.get(digest, 0.0) + share
        held = self._node.crowds.hot(name)
        hot = pick_hot(shares, held, service.hot_most, service.hot_enter_share, service.hot_leave_share)
        if hot != held:
            value = {"fence": fence, "openings": hot}
            await self._edit(key, self._fence(key), [{"kind": "hot", "name": name, "value": value}])
            _log.info("Hot set of {} is {} under fence {}.", name, hot, fence)

    async def _advance_plan(self, key: str, name: str, fence: int) -> None:
        now_ms = self._node.world.now_ms()
        if now_ms - self._plan_ms.get(name, -1e18) < PLAN_STEP_MS:
            return
        self._plan_ms[name] = now_ms
        plan, held = self._node.configuration().plans[name], self._node.plan_state(name)
        up = self._node.roster.up()
        seats = sum(
            self._node.burdens.seats(known.incarnation, now_ms)
            for known in self._node.roster.known.values()
            if known.runner in plan.leaving
        )
        sight = PlanSight(all(runner in up for runner in plan.arriving), seats)
        following = {**advance(plan, held, sight), "fence": fence}
        if held is None or {**held, "fence": fence} != following:
            edits = [{"kind": "plans", "name": name, "value": following}]
            also = [{"kind": "plans", "name": name, "value": held}]
            await self._edit(key, self._fence(key), edits, also)
            _log.info("Plan {} is {} at share {}.", name, following["phase"], following["share"])

    def words(self) -> dict[str, list[Any]]:
        """Vitals read here, each with its fence and its age."""
        now_ms = self._node.world.now_ms()
        return {name: [fence, inc, run, now_ms - at_ms] for name, (fence, inc, run, at_ms) in self.vitals.items()}

    def hear(self, words: dict[str, list[Any]]) -> None:
        """A peer's vitals; older fences are ignored."""
        for name, (fence, incarnation, running, age_ms) in words.items():
            if fence >= self._seen_fences.get(name, 0):
                self._seen_fences[name] = fence
                self._node.burdens.report(incarnation, running, self._node.world.now_ms() - age_ms)
