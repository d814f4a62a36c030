"""Other ways to draw, for comparison in the rehearsal only: plain random spreading, and the least loaded.

Both keep the design's admission, so that what differs is the choice alone.
"""

from finchswitch.affinity import Drawn, Draws, Opening, Seatable, Way

__all__ = ["RIVALS", "LeastDraws", "RandomDraws"]


class RandomDraws(Draws):
    """Any runner, by chance."""

    def _first(
        self,
        opening: Opening,
        hot: list[str],
        runners: list[Seatable],
        homes: list[str],
        spillShare: float,
        nowMs: float,
    ) -> Drawn:
        return self.estimate(opening, self._chance.choice(runners), Way.HOT, nowMs)


class LeastDraws(Draws):
    """The runner with the smallest share of its slots in use."""

    def _first(
        self,
        opening: Opening,
        hot: list[str],
        runners: list[Seatable],
        homes: list[str],
        spillShare: float,
        nowMs: float,
    ) -> Drawn:
        return self.estimate(opening, min(runners, key=lambda each: self._share(each, nowMs)), Way.HOT, nowMs)


RIVALS: dict[str, type[Draws]] = {"design": Draws, "random": RandomDraws, "least": LeastDraws}
