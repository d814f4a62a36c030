"""Other ways to draw, for comparison in the rehearsal only: plain random spreading, and the least loaded.

Both keep the design's admission, so that what differs is the choice alone.
"""

from finchswitch.affinity import Choices, Drawn, Draws, Opening, Way

__all__ = ["RIVALS", "LeastDraws", "RandomDraws"]


class RandomDraws(Draws):
    """Any runner, by chance."""

    def _first(self, opening: Opening, choices: Choices, now_ms: float) -> Drawn:
        return self.estimate(opening, self._chance.choice(choices.runners), Way.HOT, now_ms)


class LeastDraws(Draws):
    """The runner with the smallest share of its slots in use."""

    def _first(self, opening: Opening, choices: Choices, now_ms: float) -> Drawn:
        least = min(choices.runners, key=lambda each: self._share(each, now_ms))
        return self.estimate(opening, least, Way.HOT, now_ms)


RIVALS: dict[str, type[Draws]] = {"design": Draws, "random": RandomDraws, "least": LeastDraws}
