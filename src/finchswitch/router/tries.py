"""The budget of extra tries: over any window at most a share of this node's own traffic to a service, and a few more.

It slides: each prompt and each extra try is remembered for the window. A try that finds no room is not made.
"""

from collections import deque

from finchswitch.constants import TRIES_FLOOR, TRIES_WINDOW_MS

__all__ = ["Tries"]


class Tries:
    def __init__(self, window_ms: float = TRIES_WINDOW_MS) -> None:
        self._window_ms = window_ms
        self._prompts: dict[str, deque[float]] = {}
        self._extra: dict[str, deque[float]] = {}
        self.made = 0

    def prompt(self, now_ms: float, service: str = "") -> None:
        self._forget(self._prompts.setdefault(service, deque()), now_ms).append(now_ms)

    def take(self, share: float, now_ms: float, service: str = "", floor: float = TRIES_FLOOR) -> bool:
        """Whether one more extra try may be made now; if so it is counted.

        >>> tries = Tries()
        >>> [tries.take(0.15, 0.0) for _ in range(4)]
        [True, True, True, False]
        >>> tries.take(0.15, 10_001.0)
        True
        """
        prompts = self._forget(self._prompts.setdefault(service, deque()), now_ms)
        extra = self._forget(self._extra.setdefault(service, deque()), now_ms)
        if len(extra) + 1 > floor + share * len(prompts):
            return False
        extra.append(now_ms)
        self.made += 1
        return True

    def _forget(self, kept: deque[float], now_ms: float) -> deque[float]:
        while kept and now_ms - kept[0] > self._window_ms:
            kept.popleft()
        return kept
