"""The roster: the runners this node knows of from the platform's list, one entry an incarnation.

Every node may read the list, with or without the core; where it is shared, one reads it for all and the others read it
themselves only when what they heard grows old. Leaving is sticky for an incarnation and is also believed from any peer.
A runner is sent to only while it is listed, not leaving, not down, and the list is not too old. Each incarnation has
its own connections, on which its identity is proven.
"""

import hashlib
import json
from collections.abc import Callable
from dataclasses import astuple
from typing import Any

from finchswitch.bounds import Bounds
from finchswitch.constants import (
    DOWN_MS,
    FORGET_MS,
    LIST_WAIT_MS,
    SUSPECT_MS,
)
from finchswitch.errors import FleetError
from finchswitch.logs import prefix
from finchswitch.router.known_runner import Known, RunnerEvent, RunnerState
from finchswitch.router.platform import Listed, Lister
from finchswitch.router.proof import Permit
from finchswitch.transport import Message, World, reading

__all__ = ["Roster"]

_log = prefix("runners")


class Roster:
    def __init__(self, world: World, lister: Lister, permit: Permit, bounds: Bounds, kept: bool = False) -> None:
        self._world, self._lister, self._permit, self._bounds, self._kept = world, lister, permit, bounds, kept
        self.known: dict[str, Known] = {}
        self._rows: list[Listed] = []
        self.mark = ""  # a digest of the list as held; nodes that show the same one hold the same list
        self._read_ms = -1e18  # when what is held of the list was read, here or by a peer
        self._heard_ms = -1e18
        self._leaving_told: set[str] = set()
        self.changed: Callable[[], None] = lambda: None  # called when another list is held than before

    async def poll(self, reads: Any) -> None:
        """Read the list again and again; ``reads()`` says whether it falls to this node to read for all."""
        failed = 0
        while True:
            if self._bounds.list_shared and not reads() and self.list_age_ms() < self._patience_ms():
                await self._world.sleep(self._bounds.list_poll_ms / 4)
                continue
            asked_ms = self._world.now_ms()
            try:
                listed = await self._lister.read(LIST_WAIT_MS)
            except FleetError as error:
                _log.warning("The list cannot be read. {}", error)
                await self._world.sleep(self._again_ms(failed))
                failed += 1
                continue
            failed = 0
            self.take(listed)
            self._read_ms = asked_ms
            await self._world.sleep(self._bounds.list_poll_ms)

    def _again_ms(self, failed: int) -> float:
        """The pause before a reading that failed is tried again; where many readers share a rate, longer each time."""
        least_ms = self._bounds.list_poll_ms / 10
        if not self._bounds.list_shared:
            return least_ms
        return least_ms * min(10.0, 2.0**failed) * (0.5 + self._world.chance.random())

    def _patience_ms(self) -> float:
        """How old a view by hearsay may grow before this node reads for itself; spread, so that not all do at once."""
        return self._bounds.list_poll_ms * (2.0 + self._world.chance.random())

    def take(self, listed: list[Listed]) -> None:
        """Take one reading of the list."""
        self._rows = listed
        if self._bounds.list_shared:
            rows = json.dumps([astuple(each) for each in listed])
            before, self.mark = self.mark, hashlib.sha256(rows.encode()).hexdigest()[:12]
            if self.mark != before:
                self.changed()
        here = {each.incarnation for each in listed}
        for each in listed:
            known = self.known.get(each.incarnation)
            if known is not None and known.address != each.address and known.state_machine.state is RunnerState.LEAVING:
                self._leaving_told.add(each.incarnation)
            if known is None or known.address != each.address:
                known = self.known[each.incarnation] = Known(each, self._world, self._permit, self._kept)
                _log.info("Runner {}/{} is listed at {}.", each.runner, each.incarnation, each.address)
            known.unlisted_since_ms = None
            leaves = each.leaving or each.incarnation in self._leaving_told
            self._move(known, RunnerEvent.LEAVES if leaves else RunnerEvent.LISTED)
        for incarnation, known in self.known.items():
            if incarnation not in here:
                self._move(known, RunnerEvent.VANISHED)
                if known.unlisted_since_ms is None:
                    known.unlisted_since_ms = self._world.now_ms()

    def _move(self, known: Known, event: RunnerEvent) -> None:
        before = known.state_machine.state
        after = known.state_machine.take(event)
        if after is not before:
            _log.info("Runner {}/{} is {}.", known.runner, known.incarnation, after.value)

    def spoken(self, beat: Message) -> list[list[Any]]:
        """The list as held, for a peer whose beat shows another and older one; empty otherwise."""
        if not self._rows or beat.get("listMark", self.mark) == self.mark or beat["listAgeMs"] <= self.list_age_ms():
            return []
        return [list(astuple(each)) for each in self._rows]

    def is_older_than(self, beat: Message) -> bool:
        """Whether a peer's beat shows another list, read later than the one held here."""
        other = bool(beat.get("listMark")) and beat["listMark"] != self.mark
        return self._bounds.list_shared and other and beat["listAgeMs"] < self.list_age_ms()

    def view(self) -> list[Any]:
        """The mark of the list as held, and its age."""
        return [self.mark, self.list_age_ms()]

    def hear_view(self, view: Any, since_ms: float) -> None:
        """The freshest view among all nodes, as control told it: the same list as held here is known to be newer."""
        if isinstance(view, list) and self._bounds.list_shared and self.mark and view[0] == self.mark:
            self._read_ms = max(self._read_ms, since_ms - view[1])

    def hear_peer(self, beat: Message, since_ms: float) -> None:
        """A peer's answer to a beat sent at ``since_ms``: who it saw leaving, how old its list was, and the list."""
        self.hear_leaving(beat["leaving"])
        read_ms = since_ms - beat["listAgeMs"]
        self._heard_ms = max(self._heard_ms, read_ms)
        if not self._bounds.list_shared or read_ms <= self._read_ms:
            return
        if beat.get("list"):
            with reading("list", beat["name"]):
                self.take([Listed(*row) for row in beat["list"]])
            self._read_ms = read_ms
        elif self.mark and beat.get("listMark") == self.mark:
            self._read_ms = read_ms

    def hear_leaving(self, leaving: list[str]) -> None:
        for incarnation in leaving:
            if incarnation not in self._leaving_told:
                self._leaving_told.add(incarnation)
                if incarnation in self.known:
                    self._move(self.known[incarnation], RunnerEvent.LEAVES)

    def leaving(self) -> list[str]:
        return sorted(
            each.incarnation for each in self.known.values() if each.state_machine.state is RunnerState.LEAVING
        )

    def listed(self) -> int:
        """How many runners the list as held shows, whether they are known here or not."""
        return len(self._rows)

    def list_age_ms(self) -> float:
        return min(self._world.now_ms() - self._read_ms, 1e9)

    def readable(self) -> bool:
        """Whether the list is known well enough to grant seats by it."""
        if self._bounds.serves_alone:
            return self._read_ms > -1e17
        return self._world.now_ms() - max(self._read_ms, self._heard_ms) <= self._bounds.list_unknown_ms

    def up(self) -> dict[str, Known]:
        """Runners that may be sent to now, by name."""
        if not self.readable():
            return {}
        now_ms = self._world.now_ms()
        fit = [k for k in self.known.values() if k.state_machine.state is RunnerState.UP and k.down_until_ms <= now_ms]
        return {each.runner: each for each in fit}

    def serving(self, service: str) -> list[str]:
        """Names of the listed runners that the platform says serve it, whether up now or not."""
        listed = (RunnerState.UP, RunnerState.LEAVING)
        return sorted(
            {k.runner for k in self.known.values() if k.listed.service == service and k.state_machine.state in listed}
        )

    def is_long_gone(self, incarnation: str) -> bool:
        """Whether the list as held lacks it and has done so for long. One that the list shows is never gone, however
        long ago that was read: an unchanged list renews its age alone, and one that cannot be read tells nothing."""
        known = self.known.get(incarnation)
        if known is None or known.unlisted_since_ms is None:
            return False
        return self._world.now_ms() - known.unlisted_since_ms > FORGET_MS

    async def forget(self, incarnation: str) -> None:
        """Drop an incarnation and its connections; that it was leaving stays known."""
        known = self.known.pop(incarnation)
        _log.notice("Runner {}/{} is forgotten.", known.runner, known.incarnation)
        if known.state_machine.state is RunnerState.LEAVING:
            self._leaving_told.add(incarnation)
        await known.transport.aclose()
        await known.reader.aclose()

    def sendable(self, incarnation: str) -> bool:
        """Whether the incarnation is still listed and not leaving, by a list that is not too old."""
        known = self.known.get(incarnation)
        return self.readable() and known is not None and known.state_machine.state is RunnerState.UP

    def down(self, known: Known, why: str) -> None:
        known.down_until_ms = self._world.now_ms() + DOWN_MS
        _log.info("Runner {} is passed over for now. {}", known.runner, why)

    def suspect(self, known: Known, why: str) -> None:
        """A try ended without an answer: passed over for a moment, and longer each time until something comes of it."""
        known.failures += 1
        known.down_until_ms = self._world.now_ms() + min(DOWN_MS, SUSPECT_MS * 2 ** (known.failures - 1))
        _log.info("Runner {} is passed over for a moment. {}", known.runner, why)
