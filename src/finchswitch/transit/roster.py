"""The roster: the runners this node knows of from the platform's list, one entry an incarnation.

Every node polls the list itself, with or without the core. Leaving is sticky for an incarnation and is also
believed from any peer. A runner is sent to only while it is listed, not leaving, not down, and the list is not
too old. Each incarnation has its own HTTP client, whose every connection proves the identity first.
"""

from enum import Enum

import httpx

from finchswitch.charts import Walker, load_chart
from finchswitch.constants import (
    DOWN_MS,
    FORGET_MS,
    LIST_POLL_MS,
    LIST_UNKNOWN_MS,
    LIST_WAIT_MS,
    PEER_SILENT_MS,
    PROOF_WAIT_MS,
    RUNNER_SILENT_MS,
)
from finchswitch.logs import prefix
from finchswitch.mishap import Mishap
from finchswitch.transit.platform import Listed, fetch_list
from finchswitch.transit.proof import Permit, RunnerProof
from finchswitch.wire import World

__all__ = ["Known", "Roster", "RunnerState"]

_log = prefix("runners")


class RunnerState(Enum):
    UNLISTED = "unlisted"
    UP = "up"
    LEAVING = "leaving"


class RunnerEvent(Enum):
    LISTED = "listed"
    LEAVES = "leaves"
    VANISHED = "vanished"


_CHART = load_chart("runner", RunnerState, RunnerEvent)


class Known:
    """One incarnation of a runner."""

    def __init__(self, listed: Listed, world: World, permit: Permit) -> None:
        self.runner, self.incarnation, self.address = listed.runner, listed.incarnation, listed.address
        self.walker = Walker(_CHART, f"{listed.runner}/{listed.incarnation}")
        self.down_until_ms = 0.0
        self.listed_ms = world.now_ms()
        timeout = httpx.Timeout(RUNNER_SILENT_MS / 1000, connect=PROOF_WAIT_MS / 1000)
        proof = RunnerProof(listed.runner, listed.incarnation, permit)
        fresh, kept = world.http_transport(proof, fresh=True), world.http_transport(proof)
        self.client = httpx.AsyncClient(transport=fresh, timeout=timeout, trust_env=False)
        self.reader = httpx.AsyncClient(transport=kept, timeout=timeout, trust_env=False)  # of vitals only


class Roster:
    def __init__(self, world: World, platform: str, permit: Permit) -> None:
        self._world, self._platform, self._permit = world, platform, permit
        self._client = httpx.AsyncClient(transport=world.http_transport(), trust_env=False)
        self.known: dict[str, Known] = {}
        self._polled_ms = -1e18
        self._heard_ms = -1e18
        self._leaving_told: set[str] = set()

    async def poll(self) -> None:
        while True:
            asked_ms = self._world.now_ms()
            try:
                listed = await fetch_list(self._client, self._platform, LIST_WAIT_MS)
            except Mishap as mishap:
                _log.warning("The list cannot be read. {}", mishap)
                await self._world.sleep(LIST_POLL_MS / 10)
                continue
            self.take(listed)
            self._polled_ms = asked_ms
            await self._world.sleep(LIST_POLL_MS)

    def take(self, listed: list[Listed]) -> None:
        """Take one reading of the list."""
        here = {each.incarnation for each in listed}
        for each in listed:
            known = self.known.get(each.incarnation)
            if known is not None and known.address != each.address and known.walker.state is RunnerState.LEAVING:
                self._leaving_told.add(each.incarnation)
            if known is None or known.address != each.address:
                known = self.known[each.incarnation] = Known(each, self._world, self._permit)
                _log.info("Runner {}/{} is listed at {}.", each.runner, each.incarnation, each.address)
            known.listed_ms = self._world.now_ms()
            leaves = each.leaving or each.incarnation in self._leaving_told
            self._move(known, RunnerEvent.LEAVES if leaves else RunnerEvent.LISTED)
        for incarnation, known in self.known.items():
            if incarnation not in here:
                self._move(known, RunnerEvent.VANISHED)

    def _move(self, known: Known, event: RunnerEvent) -> None:
        before = known.walker.state
        after = known.walker.take(event)
        if after is not before:
            _log.info("Runner {}/{} is {}.", known.runner, known.incarnation, after.value)

    def hear_peer(self, leaving: list[str], list_age_ms: float) -> None:
        """A peer's answer: who it saw leaving, and how old its list was."""
        self.hear_leaving(leaving)
        self._heard_ms = max(self._heard_ms, self._world.now_ms() - list_age_ms - PEER_SILENT_MS)

    def hear_leaving(self, leaving: list[str]) -> None:
        for incarnation in leaving:
            if incarnation not in self._leaving_told:
                self._leaving_told.add(incarnation)
                if incarnation in self.known:
                    self._move(self.known[incarnation], RunnerEvent.LEAVES)

    def leaving(self) -> list[str]:
        return sorted(each.incarnation for each in self.known.values() if each.walker.state is RunnerState.LEAVING)

    def list_age_ms(self) -> float:
        return min(self._world.now_ms() - self._polled_ms, 1e9)

    def readable(self) -> bool:
        """Whether the list is known well enough to grant seats by it."""
        return self._world.now_ms() - max(self._polled_ms, self._heard_ms) <= LIST_UNKNOWN_MS

    def up(self) -> dict[str, Known]:
        """Runners that may be sent to now, by name."""
        if not self.readable():
            return {}
        now_ms = self._world.now_ms()
        fit = [k for k in self.known.values() if k.walker.state is RunnerState.UP and k.down_until_ms <= now_ms]
        return {each.runner: each for each in fit}

    def long_gone(self) -> list[str]:
        """Incarnations that the list has not shown for long."""
        now_ms = self._world.now_ms()
        return [inc for inc, known in self.known.items() if now_ms - known.listed_ms > FORGET_MS]

    async def forget(self, incarnation: str) -> None:
        """Drop an incarnation and its client; that it was leaving stays known."""
        known = self.known.pop(incarnation)
        if known.walker.state is RunnerState.LEAVING:
            self._leaving_told.add(incarnation)
        await known.client.aclose()
        await known.reader.aclose()

    def sendable(self, incarnation: str) -> bool:
        """Whether the incarnation is still listed and not leaving, by a list that is not too old."""
        known = self.known.get(incarnation)
        return self.readable() and known is not None and known.walker.state is RunnerState.UP

    def down(self, known: Known, why: str) -> None:
        known.down_until_ms = self._world.now_ms() + DOWN_MS
        _log.info("Runner {} is passed over for now. {}", known.runner, why)
