"""A runner's pace: how much slower than configured it prefills, by own sight and the peers' word.

Only the prompt that is prefilled now tells of it. Those behind it wait their turn, which says nothing of the runner:
judged by their own estimates, a long prefill that was not yet known when they were seated made a sound runner look ten
times too slow, and everything that followed was refused.
"""

from typing import Any

from finchswitch.constants import PACE_HALF_MS, PACE_LEAST_MS, PACE_MOST, PACE_SHARE, PACE_TOLD

__all__ = ["Paces", "ratio_of"]


def ratio_of(took_ms: float, expected_ms: float) -> float:
    """How much slower than expected, from 1 on.

    >>> ratio_of(300, 10), ratio_of(3_000, 1_000), ratio_of(1e9, 1_000)
    (1.0, 3.0, 20.0)
    """
    return min(PACE_MOST, max(1.0, took_ms / max(expected_ms, PACE_LEAST_MS)))


class Paces:
    def __init__(self) -> None:
        self._own: dict[str, tuple[float, float]] = {}
        self._peers: dict[str, float] = {}

    def saw(self, incarnation: str, ratio: float, now_ms: float) -> None:
        """How much slower than expected a prefill was; also one that was given up."""
        before = self.own(incarnation, now_ms)
        self._own[incarnation] = (before + PACE_SHARE * (ratio - before), now_ms)

    def of(self, incarnation: str, now_ms: float) -> float:
        return max(self.own(incarnation, now_ms), self._peers.get(incarnation, 1.0))

    def own(self, incarnation: str, now_ms: float) -> float:
        """At least 1, and forgotten with time."""
        pace, at_ms = self._own.get(incarnation, (1.0, now_ms))
        return float(1.0 + (pace - 1.0) * 0.5 ** ((now_ms - at_ms) / PACE_HALF_MS))

    def spoken(self, now_ms: float) -> dict[str, float]:
        paces = {incarnation: self.own(incarnation, now_ms) for incarnation in sorted(self._own)}
        return {incarnation: round(pace, 2) for incarnation, pace in paces.items() if pace >= PACE_TOLD}

    def hear_peers(self, beats: list[dict[str, Any]]) -> None:
        self._peers = {}
        for beat in beats:
            for incarnation, pace in beat["pace"].items():
                self._peers[incarnation] = max(self._peers.get(incarnation, 1.0), pace)

    def forget(self, incarnation: str) -> None:
        self._own.pop(incarnation, None)
