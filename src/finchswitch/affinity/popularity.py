"""Popularity: decayed counts of openings, and the small hot set chosen from them with hysteresis.

Each prompt counts with what it takes of a home: the larger of its own prefill and its seat, as time for which one
runner's prefill or slots would be busy with it. So what is counted is the share of one home that an opening needs. An
opening becomes hot when one home would be too little for it, and stops at a lower share. Counts halve with time. When
the table is full the least counted goes, so openings seen once come and go without pushing out hot ones.
"""

import math

from finchswitch.constants import COUNTS_MOST, HOT_HALF_MS

__all__ = ["Popularity", "pick_hot"]


class Popularity:
    """One service's counts on one node."""

    def __init__(self) -> None:
        self._counts: dict[str, float] = {}
        self._total = 0.0
        self._at_ms = 0.0

    def _decay(self, now_ms: float) -> None:
        passed_ms = now_ms - self._at_ms
        if passed_ms < HOT_HALF_MS / 100:
            return
        factor = 0.5 ** (passed_ms / HOT_HALF_MS)
        self._counts = {digest: count * factor for digest, count in self._counts.items() if count * factor > 0.001}
        self._total *= factor
        self._at_ms = now_ms

    def count(self, digest: str, home_ms: float, now_ms: float) -> None:
        """A prompt that keeps a home busy for so long."""
        self._decay(now_ms)
        if digest not in self._counts and len(self._counts) >= COUNTS_MOST:
            del self._counts[min(self._counts, key=self._counts.__getitem__)]
        self._counts[digest] = self._counts.get(digest, 0.0) + home_ms
        self._total += 1.0

    def top(self, most: int, now_ms: float) -> tuple[float, dict[str, float]]:
        """How many prompts were counted, and the highest shares of a home that openings need."""
        self._decay(now_ms)
        highest = sorted(self._counts.items(), key=lambda item: (-item[1], item[0]))[:most]
        return self._total, {digest: round(count * math.log(2) / HOT_HALF_MS, 5) for digest, count in highest}


def pick_hot(shares: dict[str, float], held: list[str], most: int, enter_share: float, leave_share: float) -> list[str]:
    """The hot set that follows from the shares of a home that openings need, and from the set held before.

    >>> pick_hot({"a": 0.8, "b": 0.3, "c": 0.25}, ["c"], 4, 0.4, 0.2)
    ['a', 'c']
    >>> pick_hot({"a": 0.5, "b": 0.6}, [], 1, 0.4, 0.2)
    ['b']
    """
    bars = {digest: leave_share if digest in held else enter_share for digest in shares}
    hot = [digest for digest, share in shares.items() if share >= bars[digest]]
    return sorted(sorted(hot, key=lambda digest: (-shares[digest], digest))[:most])
