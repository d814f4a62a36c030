"""Burden: what each runner is known to carry, from this node's seats, the peers' word and the late reports.

Own seats are exact. Peers' are as old as their last beat. A report is older still and says nothing of whose work
it counts, so only a part of its excess over what the nodes themselves know is taken. A seat waits until its first
token came. A runner prefills one prompt after the other, so the seats that wait there, in the order of their grants,
tell when it will come to the next one; what it has done of them meanwhile counts.
"""

from typing import Any

from finchswitch.affinity.pace import Paces, ratio_of
from finchswitch.constants import HEAD_SAME_MS, REPORT_TRUST_SHARE, SEAT_MS, SMOOTH_SHARE, VITALS_OLD_MS

__all__ = ["Burdens"]

Pending = tuple[float, float]  # granted at, tokens to prefill


class Burdens:
    def __init__(self) -> None:
        self.paces = Paces()
        self._seats: dict[str, int] = {}
        self._waiting: dict[str, dict[object, Pending]] = {}
        self._peer_seats: dict[str, float] = {}
        self._peer_waiting: dict[str, list[Pending]] = {}
        self._heads: dict[str, float] = {}
        self._msAToken: dict[str, float] = {}
        self._turnedMs: dict[str, float] = {}
        self._reports: dict[str, tuple[float, float]] = {}
        self._seatMs: dict[str, float] = {}
        self._serviceMs: dict[str, float] = {}

    def take(self, seat: object, incarnation: str, prefillTokens: float, msAToken: float, nowMs: float) -> None:
        self._seats[incarnation] = self._seats.get(incarnation, 0) + 1
        self._waiting.setdefault(incarnation, {})[seat] = (nowMs, prefillTokens)
        self._heads.setdefault(incarnation, nowMs)
        self._msAToken[incarnation] = msAToken

    def begun(self, seat: object, incarnation: str, nowMs: float) -> None:
        """The first token came, or never will."""
        mine, pending = self._waiting[incarnation].pop(seat, None), self._pending(incarnation)
        if mine is None:
            return
        if not pending or mine < pending[0]:
            self.paces.saw(incarnation, self._ratio(incarnation, mine, nowMs), nowMs)
        self._look_at_head(incarnation, nowMs)

    def free(self, incarnation: str, service: str, tookMs: float) -> None:
        self._seats[incarnation] -= 1
        for means, key in ((self._seatMs, incarnation), (self._serviceMs, service)):
            before = means.get(key, tookMs)
            means[key] = before + SMOOTH_SHARE * (tookMs - before)

    def busy(self, incarnation: str) -> bool:
        return self._seats.get(incarnation, 0) > 0

    def forget(self, incarnation: str) -> None:
        kept: tuple[dict[str, Any], ...] = (self._seats, self._waiting, self._reports, self._seatMs)
        for each in (*kept, self._heads, self._turnedMs, self._msAToken):
            each.pop(incarnation, None)
        self.paces.forget(incarnation)

    def spoken(self, nowMs: float) -> dict[str, list[Any]]:
        """Own burden, in the form in which peers are told: seats, and for each that waits its age and tokens."""
        return {
            incarnation: [
                seats,
                [[round(nowMs - atMs), tokens] for atMs, tokens in self._waiting.get(incarnation, {}).values()],
            ]
            for incarnation, seats in self._seats.items()
            if seats
        }

    def hear_peers(self, beats: list[dict[str, Any]], nowMs: float) -> None:
        self._peer_seats, self._peer_waiting = {}, {}
        self.paces.hear_peers(beats)
        for beat in beats:
            for incarnation, (seats, waiting) in beat["burden"].items():
                self._peer_seats[incarnation] = self._peer_seats.get(incarnation, 0.0) + seats
                pending = self._peer_waiting.setdefault(incarnation, [])
                pending.extend((beat["heardMs"] - ageMs, tokens) for ageMs, tokens in waiting)
        for incarnation in sorted({*self._heads, *self._peer_waiting}):
            self._look_at_head(incarnation, nowMs)

    def _pending(self, incarnation: str) -> list[Pending]:
        return sorted([*self._waiting.get(incarnation, {}).values(), *self._peer_waiting.get(incarnation, ())])

    def _ratio(self, incarnation: str, head: Pending, nowMs: float) -> float:
        tookMs = nowMs - max(head[0], self._turnedMs.get(incarnation, -1e18))
        return ratio_of(tookMs, head[1] * self._msAToken.get(incarnation, 0.0))

    def pace(self, incarnation: str, nowMs: float) -> float:
        """How much slower than configured the runner is; the prefill that it is at shows it already."""
        pending, seen = self._pending(incarnation), self.paces.of(incarnation, nowMs)
        return max(seen, self._ratio(incarnation, pending[0], nowMs)) if pending else seen

    def _look_at_head(self, incarnation: str, nowMs: float) -> None:
        """When the oldest seat that waited does so no more, the runner has come to the next."""
        pending, before = self._pending(incarnation), self._heads.pop(incarnation, None)
        if pending:
            self._heads[incarnation] = pending[0][0]
        if before is not None and (not pending or pending[0][0] > before + HEAD_SAME_MS):
            self._turnedMs[incarnation] = nowMs

    def report(self, incarnation: str, running: float, atMs: float) -> None:
        self._reports[incarnation] = (running, atMs)

    def seats(self, incarnation: str, nowMs: float) -> float:
        """Seats in use, as far as known."""
        known = self._seats.get(incarnation, 0) + self._peer_seats.get(incarnation, 0.0)
        running, atMs = self._reports.get(incarnation, (0.0, -1e18))
        if nowMs - atMs <= VITALS_OLD_MS and running > known:
            known += REPORT_TRUST_SHARE * (running - known)
        return known

    def backlogMs(self, incarnation: str, msAToken: float, nowMs: float) -> float:
        """How long the runner still has to prefill for the seats that wait there already.

        >>> burdens = Burdens()
        >>> burdens.take("a", "r", 1000, 1.0, 0.0)
        >>> burdens.take("b", "r", 500, 1.0, 100.0)
        >>> burdens.backlogMs("r", 1.0, 400.0)
        1100.0
        >>> burdens.begun("a", "r", 1050.0)
        >>> burdens.backlogMs("r", 1.0, 1150.0)
        400.0
        """
        doneMs = self._turnedMs.get(incarnation, -1e18)
        for atMs, tokens in self._pending(incarnation):
            doneMs = max(doneMs, atMs) + tokens * msAToken
        return max(0.0, doneMs - nowMs)

    def seatMs(self, incarnation: str) -> float:
        return self._seatMs.get(incarnation, SEAT_MS)

    def serviceMs(self, service: str) -> float:
        """How long a seat of the service lasts, as seen here."""
        return self._serviceMs.get(service, SEAT_MS)
