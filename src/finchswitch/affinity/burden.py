"""Burden: what each runner is known to carry, from this node's seats, the peers' word and the late reports.

Own seats are exact. Peers' are as old as their last beat. A report is older still and says nothing of whose work
it counts, so only a part of its excess over what the nodes themselves know is taken.
"""

from dataclasses import dataclass
from typing import Any

from finchswitch.constants import (
    PACE_HALF_MS,
    PACE_LEAST_MS,
    PACE_MOST,
    PACE_SHARE,
    PACE_TOLD,
    REPORT_TRUST_SHARE,
    SEAT_MS,
    SMOOTH_SHARE,
    VITALS_OLD_MS,
)

__all__ = ["Burdens", "Load"]


@dataclass
class Load:
    """Seats in use, and tokens that still wait to be prefilled."""

    seats: float = 0.0
    prefillTokens: float = 0.0


class Burdens:
    def __init__(self) -> None:
        self._own: dict[str, Load] = {}
        self._peers: dict[str, Load] = {}
        self._reports: dict[str, tuple[float, float]] = {}
        self._seatMs: dict[str, float] = {}
        self._pace: dict[str, tuple[float, float]] = {}
        self._peer_pace: dict[str, float] = {}
        self._waiting: dict[str, dict[object, tuple[float, float]]] = {}

    def take(self, incarnation: str, prefillTokens: int) -> None:
        load = self._own.setdefault(incarnation, Load())
        load.seats += 1
        load.prefillTokens += prefillTokens

    def begun(self, incarnation: str, prefillTokens: int) -> None:
        """The first token came: its prefill is done."""
        self._own[incarnation].prefillTokens -= prefillTokens

    def free(self, incarnation: str, tookMs: float) -> None:
        self._own[incarnation].seats -= 1
        before = self._seatMs.get(incarnation, tookMs)
        self._seatMs[incarnation] = before + SMOOTH_SHARE * (tookMs - before)

    def busy(self, incarnation: str) -> bool:
        return self._own.get(incarnation, Load()).seats > 0

    def forget(self, incarnation: str) -> None:
        for kept in (self._own, self._reports, self._seatMs, self._pace, self._waiting):
            kept.pop(incarnation, None)

    def spoken(self) -> dict[str, list[float]]:
        """Own burden, in the form in which peers are told."""
        return {inc: [load.seats, load.prefillTokens] for inc, load in self._own.items() if load.seats}

    def hear_peers(self, beats: list[dict[str, Any]]) -> None:
        self._peers, self._peer_pace = {}, {}
        for beat in beats:
            for incarnation, pace in beat["pace"].items():
                self._peer_pace[incarnation] = max(self._peer_pace.get(incarnation, 1.0), pace)
            for incarnation, (seats, prefillTokens) in beat["burden"].items():
                load = self._peers.setdefault(incarnation, Load())
                load.seats += seats
                load.prefillTokens += prefillTokens

    def report(self, incarnation: str, running: float, atMs: float) -> None:
        self._reports[incarnation] = (running, atMs)

    def of(self, incarnation: str, nowMs: float) -> Load:
        own, peers = self._own.get(incarnation, Load()), self._peers.get(incarnation, Load())
        known = own.seats + peers.seats
        running, atMs = self._reports.get(incarnation, (0.0, -1e18))
        if nowMs - atMs <= VITALS_OLD_MS and running > known:
            known += REPORT_TRUST_SHARE * (running - known)
        return Load(known, own.prefillTokens + peers.prefillTokens)

    def saw_first(self, incarnation: str, plainMs: float, tookMs: float, nowMs: float) -> None:
        """How long a first token took against its estimate; also of a try that gave up waiting."""
        ratio = min(PACE_MOST, max(1.0, tookMs / max(plainMs, PACE_LEAST_MS)))
        before = self.own_pace(incarnation, nowMs)
        self._pace[incarnation] = (before + PACE_SHARE * (ratio - before), nowMs)

    def pace(self, incarnation: str, nowMs: float) -> float:
        """How much slower than configured the runner is, by this node's sight and its peers' word."""
        return max(self.own_pace(incarnation, nowMs), self._peer_pace.get(incarnation, 1.0))

    def spoken_pace(self, nowMs: float) -> dict[str, float]:
        paces = {incarnation: self.own_pace(incarnation, nowMs) for incarnation in {*self._pace, *self._waiting}}
        return {incarnation: round(pace, 2) for incarnation, pace in sorted(paces.items()) if pace >= PACE_TOLD}

    def own_pace(self, incarnation: str, nowMs: float) -> float:
        """At least 1, and forgotten with time."""
        pace, atMs = self._pace.get(incarnation, (1.0, nowMs))
        seen = 1.0 + (pace - 1.0) * 0.5 ** ((nowMs - atMs) / PACE_HALF_MS)
        waited = [
            (nowMs - sinceMs) / max(plainMs, PACE_LEAST_MS)
            for sinceMs, plainMs in self._waiting.get(incarnation, {}).values()
        ]
        return float(min(PACE_MOST, max(seen, *waited, 1.0)))

    def await_first(self, seat: object, incarnation: str, plainMs: float, nowMs: float) -> None:
        """A seat waits for its first token from now on; waiting past its estimate already shows a slow runner."""
        self._waiting.setdefault(incarnation, {})[seat] = (nowMs, plainMs)

    def no_wait(self, seat: object, incarnation: str) -> None:
        self._waiting.get(incarnation, {}).pop(seat, None)

    def seatMs(self, incarnation: str) -> float:
        return self._seatMs.get(incarnation, SEAT_MS)
