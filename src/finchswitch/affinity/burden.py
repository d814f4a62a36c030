"""Burden: what each runner is known to carry, from this node's seats, the peers' word and the late reports.

Own seats are exact. Peers' are as old as their last beat. A report is older still and says nothing of whose work
it counts, so only a part of its excess over what the nodes themselves know is taken. A seat waits until its first
token came. A runner prefills one prompt after the other, so the seats that wait there, in the order of their grants,
tell when it will come to the next one; what it has done of them meanwhile counts.

Runners let more urgent requests in first (0 is the most urgent). So what waits is known by rank, and whoever asks for a
rank is told only of what is as urgent: prompts that may wait are no reason to refuse one that may not.
"""

from typing import Any, NamedTuple

from finchswitch.affinity.pace import Paces, ratio_of
from finchswitch.affinity.speed import Speeds
from finchswitch.constants import HEAD_SAME_MS, REPORT_TRUST_SHARE, SEAT_MS, SMOOTH_SHARE, VITALS_OLD_MS

__all__ = ["Burdens"]


class Pending(NamedTuple):
    """A seat whose first token has not come."""

    granted_ms: float
    tokens: float  # to prefill
    rank: int = 0


class Burdens:
    def __init__(self) -> None:
        self.paces, self.speeds = Paces(), Speeds()
        self._seats: dict[str, int] = {}
        self._waiting: dict[str, dict[object, Pending]] = {}
        self._peer_seats: dict[str, float] = {}
        self._peer_waiting: dict[str, list[Pending]] = {}
        self._heads: dict[str, float] = {}
        self._ms_a_token: dict[str, float] = {}
        self._turned_ms: dict[str, float] = {}
        self._reports: dict[str, tuple[float, float]] = {}
        self._seat_ms: dict[str, float] = {}
        self._service_ms: dict[str, float] = {}
        self._granted_ms: dict[str, dict[int, float]] = {}  # the last grant here, by runner and rank

    def take(
        self,
        seat: object,
        incarnation: str,
        prefill_tokens: float,
        ms_a_token: float,
        now_ms: float,
        rank: int = 0,
    ) -> None:
        self._seats[incarnation] = self._seats.get(incarnation, 0) + 1
        self._waiting.setdefault(incarnation, {})[seat] = Pending(now_ms, prefill_tokens, rank)
        self._granted_ms.setdefault(incarnation, {})[rank] = now_ms
        self._heads.setdefault(incarnation, now_ms)
        self._ms_a_token[incarnation] = ms_a_token

    def begun(self, seat: object, incarnation: str, now_ms: float, service: str = "") -> None:
        """The first token came (of this service, where its speed is learned), or never will."""
        mine, pending = self._waiting[incarnation].pop(seat, None), self._pending(incarnation)
        if mine is None:
            return
        rivals = [each for each in pending if each.rank <= mine.rank]
        if (not rivals or mine < rivals[0]) and not self._overtaken(incarnation, mine):
            self.paces.saw(incarnation, self._ratio(incarnation, mine, now_ms), now_ms)
            if service and not pending and self._turned_ms.get(incarnation, -1e18) <= mine[0]:
                self.speeds.saw(service, mine[1], now_ms - mine[0])
        self._look_at_head(incarnation, now_ms)

    def _overtaken(self, incarnation: str, mine: Pending) -> bool:
        """Whether a more urgent request was granted there meanwhile: then a long wait does not show a slow runner."""
        later = self._granted_ms.get(incarnation, {}).items()
        return any(rank < mine.rank and at_ms > mine.granted_ms for rank, at_ms in later)

    def free(self, incarnation: str, service: str, took_ms: float) -> None:
        self._seats[incarnation] -= 1
        for means, key in ((self._seat_ms, incarnation), (self._service_ms, service)):
            before = means.get(key, took_ms)
            means[key] = before + SMOOTH_SHARE * (took_ms - before)

    def busy(self, incarnation: str) -> bool:
        return self._seats.get(incarnation, 0) > 0

    def forget(self, incarnation: str) -> None:
        kept: tuple[dict[str, Any], ...] = (self._seats, self._waiting, self._reports, self._seat_ms)
        for each in (*kept, self._heads, self._turned_ms, self._ms_a_token, self._granted_ms):
            each.pop(incarnation, None)
        self.paces.forget(incarnation)

    def spoken(self, now_ms: float) -> dict[str, list[Any]]:
        """Own burden, in the form in which peers are told: seats, and for each that waits its age and tokens."""
        return {
            incarnation: [
                seats,
                [
                    [round(now_ms - each.granted_ms), each.tokens]
                    for each in self._waiting.get(incarnation, {}).values()
                ],
            ]
            for incarnation, seats in self._seats.items()
            if seats
        }

    def spoken_ranks(self) -> dict[str, list[int]]:
        """The ranks of what waits, in the order of ``spoken``; none for a runner where all are of the most urgent."""
        ranks = {incarnation: [each.rank for each in seats.values()] for incarnation, seats in self._waiting.items()}
        return {incarnation: each for incarnation, each in ranks.items() if any(each)}

    def hear_peers(self, beats: list[dict[str, Any]], now_ms: float) -> None:
        self._peer_seats, self._peer_waiting = {}, {}
        self.paces.hear_peers(beats)
        for beat in beats:
            for incarnation, (seats, waiting) in beat["burden"].items():
                self._peer_seats[incarnation] = self._peer_seats.get(incarnation, 0.0) + seats
                pending = self._peer_waiting.setdefault(incarnation, [])
                ranks = [*beat.get("ranks", {}).get(incarnation, []), *[0] * len(waiting)]
                pending.extend(
                    Pending(beat["heardMs"] - age_ms, tokens, rank)
                    for (age_ms, tokens), rank in zip(waiting, ranks, strict=False)
                )
        for incarnation in sorted({*self._heads, *self._peer_waiting}):
            self._look_at_head(incarnation, now_ms)

    def _pending(self, incarnation: str, rank: int | None = None) -> list[Pending]:
        """What waits there in the order of its grants; for a rank, only what is as urgent."""
        pending = sorted([*self._waiting.get(incarnation, {}).values(), *self._peer_waiting.get(incarnation, ())])
        return pending if rank is None else [each for each in pending if each.rank <= rank]

    def _ratio(self, incarnation: str, head: Pending, now_ms: float) -> float:
        took_ms = now_ms - max(head.granted_ms, self._turned_ms.get(incarnation, -1e18))
        return ratio_of(took_ms, head.tokens * self._ms_a_token.get(incarnation, 0.0))

    def pace(self, incarnation: str, now_ms: float, rank: int | None = None) -> float:
        """How much slower than configured the runner is; the prefill that it is at shows it already."""
        pending, seen = self._pending(incarnation, rank), self.paces.of(incarnation, now_ms)
        return max(seen, self._ratio(incarnation, pending[0], now_ms)) if pending else seen

    def _look_at_head(self, incarnation: str, now_ms: float) -> None:
        """When the oldest seat that waited does so no more, the runner has come to the next."""
        pending, before = self._pending(incarnation), self._heads.pop(incarnation, None)
        if pending:
            self._heads[incarnation] = pending[0].granted_ms
        if before is not None and (not pending or pending[0].granted_ms > before + HEAD_SAME_MS):
            self._turned_ms[incarnation] = now_ms

    def report(self, incarnation: str, running: float, at_ms: float) -> None:
        self._reports[incarnation] = (running, at_ms)

    def seats(self, incarnation: str, now_ms: float) -> float:
        """Seats in use, as far as known."""
        known = self._seats.get(incarnation, 0) + self._peer_seats.get(incarnation, 0.0)
        running, at_ms = self._reports.get(incarnation, (0.0, -1e18))
        if now_ms - at_ms <= VITALS_OLD_MS and running > known:
            known += REPORT_TRUST_SHARE * (running - known)
        return known

    def backlog_ms(self, incarnation: str, ms_a_token: float, now_ms: float, rank: int | None = None) -> float:
        """How long the runner still has to prefill for the seats that wait there already; for a rank, those before it.

        >>> burdens = Burdens()
        >>> burdens.take("a", "r", 1000, 1.0, 0.0)
        >>> burdens.take("b", "r", 500, 1.0, 100.0)
        >>> burdens.backlog_ms("r", 1.0, 400.0)
        1100.0
        >>> burdens.begun("a", "r", 1050.0)
        >>> burdens.backlog_ms("r", 1.0, 1150.0)
        400.0
        >>> burdens.take("c", "r", 9000, 1.0, 1150.0, rank=1)
        >>> burdens.backlog_ms("r", 1.0, 1150.0, rank=0), burdens.backlog_ms("r", 1.0, 1150.0, rank=1)
        (400.0, 9400.0)
        """
        done_ms = self._turned_ms.get(incarnation, -1e18)
        for each in self._pending(incarnation, rank):
            done_ms = max(done_ms, each.granted_ms) + each.tokens * ms_a_token
        return max(0.0, done_ms - now_ms)

    def seat_ms(self, incarnation: str) -> float:
        return self._seat_ms.get(incarnation, SEAT_MS)

    def service_ms(self, service: str) -> float:
        """How long a seat of the service lasts, as seen here."""
        return self._service_ms.get(service, SEAT_MS)
