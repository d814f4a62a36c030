"""Beliefs: which openings a runner most likely still keeps, inferred from the prompts sent there.

No runner says what it keeps. A belief is held for one incarnation and one weight version, ages, and goes when
an answer shows another version. Only the runner's latest prompts count, as it drops the longest unused parts.
"""

from collections import OrderedDict

from finchswitch.constants import BELIEF_MS, BELIEFS_MOST

__all__ = ["Beliefs"]


class Beliefs:
    def __init__(self, keptMs: float = BELIEF_MS) -> None:
        self._keptMs = keptMs
        self._kept: dict[str, OrderedDict[str, float]] = {}
        self._weights: dict[str, str] = {}

    def sent(self, incarnation: str, digest: str, nowMs: float) -> None:
        """A runner began to answer a prompt with this opening."""
        kept = self._kept.setdefault(incarnation, OrderedDict())
        kept[digest] = nowMs
        kept.move_to_end(digest)
        if len(kept) > BELIEFS_MOST:
            kept.popitem(last=False)

    def answered(self, incarnation: str, weights: str) -> None:
        """An answer showed the runner's weight version; another one than before clears what was believed."""
        before = self._weights.get(incarnation)
        if before is not None and before != weights:
            self._kept.pop(incarnation, None)
        self._weights[incarnation] = weights

    def holds(self, incarnation: str, digest: str, nowMs: float) -> bool:
        kept = self._kept.get(incarnation)
        atMs = kept.get(digest) if kept else None
        return atMs is not None and nowMs - atMs <= self._keptMs

    def weights(self, incarnation: str) -> str:
        return self._weights.get(incarnation, "")

    def forget(self, incarnation: str) -> None:
        self._kept.pop(incarnation, None)
        self._weights.pop(incarnation, None)

    def counts(self) -> dict[str, int]:
        return {incarnation: len(kept) for incarnation, kept in sorted(self._kept.items())}
