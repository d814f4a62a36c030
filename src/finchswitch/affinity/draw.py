"""The draw: the design's choice of a runner for one prompt.

Hot openings go to any runner without affinity: of two taken by chance, the one with less burden. Every other
opening goes by its hash to its home. A home that is overloaded, leaving, down or tried already gives way to the
next in hash order, and to few of them. A seat is granted only where the estimated first token meets the due.
"""

from dataclasses import dataclass
from enum import Enum
from random import Random

from finchswitch.affinity.beliefs import Beliefs
from finchswitch.affinity.burden import Burdens
from finchswitch.affinity.homes import home_order, shifted
from finchswitch.affinity.opening import Opening
from finchswitch.constants import COPY_SHARE, SECOND_HOMES, TOLD_TOKENS

__all__ = ["Choices", "Drawn", "Draws", "Seatable", "Way"]


class Way(Enum):
    """Why a runner was drawn."""

    HOT = "hot"
    HOME = "home"
    SPILL = "spill"
    TIMELY = "timely"


@dataclass(frozen=True)
class Seatable:
    """A runner that may be given work now."""

    runner: str
    incarnation: str
    slots: int
    prefillTokensPerS: int


@dataclass(frozen=True)
class Drawn:
    runner: Seatable
    opening: Opening
    way: Way
    prefillTokens: int
    firstMs: float


@dataclass(frozen=True)
class Choices:
    """What there is to draw from: the hot set, runners that may be seated, and those that own openings.

    Among the owners may be some that cannot be seated now.
    """

    hot: list[str]
    runners: list[Seatable]
    homes: list[str]
    spillShare: float


class Draws:
    def __init__(self, beliefs: Beliefs, burdens: Burdens, chance: Random) -> None:
        self._beliefs, self._burdens, self._chance = beliefs, burdens, chance

    def estimate(self, opening: Opening, runner: Seatable, way: Way, nowMs: float) -> Drawn:
        """When the first token would come: waiting for a slot, others' prefill, then this prompt's own."""
        seats = self._burdens.seats(runner.incarnation, nowMs)
        cold = not self._beliefs.holds(runner.incarnation, opening.digest, nowMs)
        tokens = opening.ownTokens + (opening.openingTokens if cold else 0)
        waiting = max(0.0, seats + 1 - runner.slots)
        waitMs = waiting * self._burdens.seatMs(runner.incarnation) / runner.slots
        msAToken, pace = 1000 / runner.prefillTokensPerS, self._burdens.pace(runner.incarnation, nowMs)
        backlogMs = self._burdens.backlogMs(runner.incarnation, msAToken * pace, nowMs)
        return Drawn(runner, opening, way, tokens, (waitMs + tokens * msAToken) * pace + backlogMs)

    def draw(self, opening: Opening, choices: Choices, dueMs: float, nowMs: float) -> Drawn | None:
        """A runner for the prompt, or None when none can be timely."""
        if not choices.runners:
            return None
        first = self._first(opening, choices, nowMs)
        if first.firstMs <= dueMs:
            return first
        others = [self.estimate(opening, each, Way.TIMELY, nowMs) for each in choices.runners]
        timely = min(others, key=lambda each: each.firstMs)
        return timely if timely.firstMs <= dueMs else None

    def _first(self, opening: Opening, choices: Choices, nowMs: float) -> Drawn:
        """The design's two rules, before time is looked at."""
        by_name = {each.runner: each for each in choices.runners}
        if opening.digest in choices.hot:
            names = self._copied(opening, by_name, nowMs)
            pair = self._chance.sample(names, min(2, len(names)))
            both = [self.estimate(opening, by_name[name], Way.HOT, nowMs) for name in pair]
            return min(both, key=lambda each: self._share(each.runner, nowMs))
        return self._home(opening, by_name, choices, nowMs)

    def _copied(self, opening: Opening, by_name: dict[str, Seatable], nowMs: float) -> list[str]:
        """All runners; for a large opening mostly those believed to hold it, so that copies are made one by one."""
        names = sorted(by_name)
        if opening.openingTokens < TOLD_TOKENS or self._chance.random() < COPY_SHARE:
            return names
        held = [each for each in names if self._beliefs.holds(by_name[each].incarnation, opening.digest, nowMs)]
        return held or names

    def _home(self, opening: Opening, by_name: dict[str, Seatable], choices: Choices, nowMs: float) -> Drawn:
        owned = home_order(opening.digest, choices.homes)
        order = [name for name in owned if name in by_name] or home_order(opening.digest, list(by_name))
        for name in order[: 1 + SECOND_HOMES]:
            if self._share(by_name[name], nowMs) < choices.spillShare:
                way = Way.HOME if name == owned[0] else Way.SPILL
                return self.estimate(opening, by_name[name], way, nowMs)
        spilled = [self.estimate(opening, by_name[name], Way.SPILL, nowMs) for name in order[: 1 + SECOND_HOMES]]
        return min(spilled, key=lambda each: each.firstMs)

    def _share(self, runner: Seatable, nowMs: float) -> float:
        return self._burdens.seats(runner.incarnation, nowMs) / runner.slots


def owners(digest: str, before: list[str], after: list[str], share: float) -> list[str]:
    """The runners that may own an opening while a plan has moved a share of the homes.

    >>> owners("o", ["r1"], ["r2"], 0.0), owners("o", ["r1"], ["r2"], 1.0)
    (['r1'], ['r2'])
    """
    return after if shifted(digest, share) else before
