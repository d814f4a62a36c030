"""The budget of extra tries: over any ten seconds at most a share of this node's own traffic, and a few more.

It slides: each prompt and each extra try is remembered for the window. A try that finds no room is not made.
"""

from collections import deque

from finchswitch.constants import TRIES_FLOOR, TRIES_WINDOW_MS

__all__ = ["Tries"]


class Tries:
    def __init__(self) -> None:
        self._prompts: deque[float] = deque()
        self._extra: deque[float] = deque()
        self.made = 0

    def prompt(self, now_ms: float) -> None:
        self._prompts.append(now_ms)
        self._forget(now_ms)

    def take(self, share: float, now_ms: float) -> bool:
        """Whether one more extra try may be made now; if so it is counted.

        >>> tries = Tries()
        >>> [tries.take(0.15, 0.0) for _ in range(4)]
        [True, True, True, False]
        >>> tries.take(0.15, 10_001.0)
        True
        """
        self._forget(now_ms)
        if len(self._extra) + 1 > TRIES_FLOOR + share * len(self._prompts):
            return False
        self._extra.append(now_ms)
        self.made += 1
        return True

    def _forget(self, now_ms: float) -> None:
        for kept in (self._prompts, self._extra):
            while kept and now_ms - kept[0] > TRIES_WINDOW_MS:
                kept.popleft()
