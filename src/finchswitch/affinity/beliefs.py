"""Beliefs: which openings a runner most likely still keeps, inferred from the prompts sent there.

No runner says what it keeps. A belief is held for one incarnation and one weight version, ages, and goes when
an answer shows another version. Only the runner's latest prompts count, as it drops the longest unused parts.
"""

from collections import OrderedDict
from typing import Any

from finchswitch.affinity.opening import Opening
from finchswitch.constants import BELIEF_MS, BELIEFS_MOST, TOLD_MOST, TOLD_TOKENS

__all__ = ["Beliefs"]


class Beliefs:
    def __init__(self, kept_ms: float = BELIEF_MS) -> None:
        self._kept_ms = kept_ms
        self._kept: dict[str, OrderedDict[str, float]] = {}
        self._tokens: dict[str, dict[str, int]] = {}
        self._weights: dict[str, str] = {}
        self._coming: dict[tuple[str, str], int] = {}
        self._large: dict[str, OrderedDict[str, None]] = {}
        self._told: set[tuple[str, str]] = set()
        self.trusting_until_ms = -1e18  # a node that came back to a fleet takes homes to hold what they own until then

    def granted(self, incarnation: str, opening: Opening) -> None:
        """A prompt is on its way; what follows it there finds the opening prefilled, or waits for the same prefill."""
        digest = opening.digest
        if opening.opening_tokens >= TOLD_TOKENS:
            large = self._large.setdefault(incarnation, OrderedDict())
            large[digest] = None
            large.move_to_end(digest)
            if len(large) > TOLD_MOST:
                large.popitem(last=False)
        self._coming[incarnation, digest] = self._coming.get((incarnation, digest), 0) + 1

    def settled(self, incarnation: str, digest: str) -> None:
        """That prompt began to answer, or never will."""
        left = self._coming.pop((incarnation, digest)) - 1
        if left:
            self._coming[incarnation, digest] = left

    def sent(self, incarnation: str, digest: str, now_ms: float, tokens: int = 0, most_tokens: int = 0) -> None:
        """A runner of so much memory (0: nobody knows) began to answer a prompt with this opening."""
        kept, sizes = self._kept.setdefault(incarnation, OrderedDict()), self._tokens.setdefault(incarnation, {})
        kept[digest] = now_ms
        kept.move_to_end(digest)
        sizes[digest] = tokens
        held = sum(sizes.values()) if most_tokens else 0
        while len(kept) > BELIEFS_MOST or (held > most_tokens and len(kept) > 1):
            held -= sizes.pop(kept.popitem(last=False)[0], 0)

    def answered(self, incarnation: str, weights: str) -> None:
        """An answer showed the runner's weight version; another one than before clears what was believed."""
        before = self._weights.get(incarnation)
        if before is not None and before != weights:
            self._kept.pop(incarnation, None)
            self._tokens.pop(incarnation, None)
            self._large.pop(incarnation, None)
        self._weights[incarnation] = weights

    def holds(self, incarnation: str, digest: str, now_ms: float) -> bool:
        return (incarnation, digest) in self._told or self._own(incarnation, digest, now_ms)

    def _own(self, incarnation: str, digest: str, now_ms: float) -> bool:
        if (incarnation, digest) in self._coming:
            return True
        kept = self._kept.get(incarnation)
        at_ms = kept.get(digest) if kept else None
        return at_ms is not None and now_ms - at_ms <= self._kept_ms

    def weights(self, incarnation: str) -> str:
        return self._weights.get(incarnation, "")

    def forget(self, incarnation: str) -> None:
        self._kept.pop(incarnation, None)
        self._tokens.pop(incarnation, None)
        self._large.pop(incarnation, None)
        self._weights.pop(incarnation, None)

    def spoken(self, now_ms: float) -> dict[str, list[Any]]:
        """The large openings believed held or coming, for peers: by incarnation, under which weights."""
        return {
            incarnation: [self.weights(incarnation), [each for each in large if self._own(incarnation, each, now_ms)]]
            for incarnation, large in self._large.items()
        }

    def hear_peers(self, beats: list[dict[str, Any]]) -> None:
        """What peers believe, unless it is of other weights than were seen here."""
        self._told = {
            (incarnation, digest)
            for beat in beats
            for incarnation, (weights, digests) in beat["held"].items()
            if not weights or weights == (self.weights(incarnation) or weights)
            for digest in digests
        }

    def counts(self) -> dict[str, int]:
        return {incarnation: len(kept) for incarnation, kept in sorted(self._kept.items())}
