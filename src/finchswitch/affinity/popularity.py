"""Popularity: decayed counts of openings, and the small hot set chosen from them with hysteresis.

Counts halve with time. When the table is full the least counted goes, so openings seen once come and go without
pushing out hot ones. An opening becomes hot at one share of its service's prompts and stops at a lower one.
"""

from finchswitch.constants import COUNTS_MOST, HOT_HALF_MS

__all__ = ["Popularity", "pick_hot"]


class Popularity:
    """One service's counts on one node."""

    def __init__(self) -> None:
        self._counts: dict[str, float] = {}
        self._total = 0.0
        self._atMs = 0.0

    def _decay(self, nowMs: float) -> None:
        passedMs = nowMs - self._atMs
        if passedMs < HOT_HALF_MS / 100:
            return
        factor = 0.5 ** (passedMs / HOT_HALF_MS)
        self._counts = {digest: count * factor for digest, count in self._counts.items() if count * factor > 0.01}
        self._total *= factor
        self._atMs = nowMs

    def count(self, digest: str, nowMs: float) -> None:
        self._decay(nowMs)
        if digest not in self._counts and len(self._counts) >= COUNTS_MOST:
            del self._counts[min(self._counts, key=self._counts.__getitem__)]
        self._counts[digest] = self._counts.get(digest, 0.0) + 1.0
        self._total += 1.0

    def top(self, most: int, nowMs: float) -> tuple[float, dict[str, float]]:
        """The total and the highest counts."""
        self._decay(nowMs)
        highest = sorted(self._counts.items(), key=lambda item: (-item[1], item[0]))[:most]
        return self._total, {digest: round(count, 3) for digest, count in highest}


def pick_hot(
    total: float, counts: dict[str, float], held: list[str], most: int, enterShare: float, leaveShare: float
) -> list[str]:
    """The hot set that follows from counts and the one held before.

    >>> pick_hot(100, {"a": 40, "b": 15, "c": 14}, ["c"], 4, 0.25, 0.12)
    ['a', 'c']
    >>> pick_hot(100, {"a": 40, "b": 30}, [], 1, 0.25, 0.12)
    ['a']
    """
    if total <= 0:
        return held
    bars = {digest: leaveShare if digest in held else enterShare for digest in counts}
    hot = [digest for digest, count in counts.items() if count / total >= bars[digest]]
    return sorted(sorted(hot, key=lambda digest: (-counts[digest], digest))[:most])
