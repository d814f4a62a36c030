"""Learned speed: how fast a service's runners read prompts, where no configuration says it.

Only a prompt that was read alone tells: from when its runner came to it until its first token. Short prompts show what
a first token costs whatever its size, long ones what each token adds. The fastest seen counts and fades slowly, since
whatever else a runner has to do only makes it slower.
"""

from finchswitch.constants import SPEED_FADE, SPEED_FIRST_MS, SPEED_LONG_TOKENS, SPEED_SHORT_TOKENS, SPEED_TOKENS_A_MS

__all__ = ["Speeds"]


class Speeds:
    def __init__(self) -> None:
        self._first_ms: dict[str, float] = {}
        self._tokens_a_ms: dict[str, float] = {}

    def saw(self, service: str, tokens: float, took_ms: float) -> None:
        """A prompt of so many tokens to be read, alone at its runner, took so long to its first token.

        >>> speeds = Speeds()
        >>> speeds.saw("m", 100, 50.0); speeds.saw("m", 10_000, 250.0)
        >>> round(speeds.first_ms("m")), round(speeds.tokens_a_ms("m"))
        (50, 50)
        """
        if tokens <= SPEED_SHORT_TOKENS:
            before = self._first_ms.get(service, took_ms)
            self._first_ms[service] = min(took_ms, before + SPEED_FADE * (took_ms - before))
        elif tokens >= SPEED_LONG_TOKENS:
            seen = tokens / max(1.0, took_ms - self.first_ms(service))
            before = self._tokens_a_ms.get(service, seen)
            self._tokens_a_ms[service] = max(seen, before + SPEED_FADE * (seen - before))

    def first_ms(self, service: str) -> float:
        """What a first token takes beside reading the prompt."""
        return self._first_ms.get(service, SPEED_FIRST_MS)

    def tokens_a_ms(self, service: str) -> float:
        return self._tokens_a_ms.get(service, SPEED_TOKENS_A_MS)
