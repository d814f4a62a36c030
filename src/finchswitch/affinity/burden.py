"""Burden: what each runner is known to carry, from this node's seats, the peers' word and the late reports.

Own seats are exact. Peers' are as old as their last beat. A report is older still and says nothing of whose work
it counts, so only a part of its excess over what the nodes themselves know is taken.
"""

from dataclasses import dataclass
from typing import Any

from finchswitch.constants import REPORT_TRUST_SHARE, SEAT_MS, SMOOTH_SHARE, VITALS_OLD_MS

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

    def spoken(self) -> dict[str, list[float]]:
        """Own burden, in the form in which peers are told."""
        return {inc: [load.seats, load.prefillTokens] for inc, load in self._own.items() if load.seats}

    def hear_peers(self, beats: list[dict[str, Any]]) -> None:
        self._peers = {}
        for beat in beats:
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

    def seatMs(self, incarnation: str) -> float:
        return self._seatMs.get(incarnation, SEAT_MS)
