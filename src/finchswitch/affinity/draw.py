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
from finchswitch.constants import COPY_SHARE, READ_AGAIN_SHARE, SECOND_HOMES, TOLD_TOKENS

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
    prefill_tokens_per_s: int  # 0 where it is learned
    service: str = ""  # by which it is learned
    memory_tokens: int = 0  # 0 where nobody knows


@dataclass(frozen=True)
class Drawn:
    runner: Seatable
    opening: Opening
    way: Way
    prefill_tokens: int
    first_ms: float
    ms_a_token: float


@dataclass(frozen=True)
class Choices:
    """What there is to draw from: the hot set, runners that may be seated, and those that own openings.

    Among the owners may be some that cannot be seated now.
    """

    hot: list[str]
    runners: list[Seatable]
    homes: list[str]
    spill_share: float


class Draws:
    def __init__(self, beliefs: Beliefs, burdens: Burdens, chance: Random) -> None:
        self._beliefs, self._burdens, self._chance = beliefs, burdens, chance

    def estimate(
        self, opening: Opening, runner: Seatable, way: Way, now_ms: float, home: bool = False, rank: int | None = None
    ) -> Drawn:
        """When the first token would come: waiting for a slot, others' prefill, then this prompt's own.

        For a rank, the prefill of less urgent requests does not count: the runner lets this one in before them.
        """
        seats = self._burdens.seats(runner.incarnation, now_ms)
        trusted = home and now_ms < self._beliefs.trusting_until_ms
        cold = not trusted and not self._beliefs.holds(runner.incarnation, opening.digest, now_ms)
        tokens = opening.own_tokens + (opening.opening_tokens if cold else 0)
        waiting = max(0.0, seats + 1 - runner.slots)
        wait_ms = waiting * self._burdens.seat_ms(runner.incarnation) / runner.slots
        ms_a_token, first_ms, speeds = 1000 / (runner.prefill_tokens_per_s or 1), 0.0, self._burdens.speeds
        if not runner.prefill_tokens_per_s:
            ms_a_token, first_ms = 1 / speeds.tokens_a_ms(runner.service), speeds.first_ms(runner.service)
        pace = self._burdens.pace(runner.incarnation, now_ms, rank)
        backlog_ms = self._burdens.backlog_ms(runner.incarnation, ms_a_token * pace, now_ms, rank)
        estimated_ms = first_ms + (wait_ms + tokens * ms_a_token) * pace + backlog_ms
        return Drawn(runner, opening, way, tokens, estimated_ms, ms_a_token)

    def reads_again(self, opening: Opening, drawn: Drawn, now_ms: float) -> bool:
        """Whether a runner whose speed is learned would read what its home most likely keeps."""
        kept = self._beliefs.holds(drawn.runner.incarnation, opening.digest, now_ms)
        return not drawn.runner.prefill_tokens_per_s and not kept

    def _patience_ms(self, opening: Opening, other: Drawn) -> float:
        """How much later than due a prompt waits for its home before its opening is read a second time elsewhere."""
        return READ_AGAIN_SHARE * opening.opening_tokens * other.ms_a_token

    def earliest(self, opening: Opening, choices: Choices, now_ms: float, rank: int | None = None) -> Drawn:
        """The runner whose first token is expected first; for a rank, as if no less urgent request waited anywhere."""
        others = [self.estimate(opening, each, Way.TIMELY, now_ms, rank=rank) for each in choices.runners]
        return min(others, key=lambda each: each.first_ms)

    def draw(self, opening: Opening, choices: Choices, due_ms: float, now_ms: float) -> Drawn | None:
        """A runner for the prompt, or None when none can be timely."""
        if not choices.runners:
            return None
        first = self._first(opening, choices, now_ms)
        if first.first_ms <= due_ms:
            return first
        timely = self.earliest(opening, choices, now_ms)
        if self.reads_again(opening, timely, now_ms) and first.first_ms <= due_ms + self._patience_ms(opening, timely):
            return first
        return timely if timely.first_ms <= due_ms else None

    def _first(self, opening: Opening, choices: Choices, now_ms: float) -> Drawn:
        """The design's two rules, before time is looked at."""
        by_name = {each.runner: each for each in choices.runners}
        if opening.digest in choices.hot:
            names = self._copied(opening, by_name, now_ms)
            pair = self._chance.sample(names, min(2, len(names)))
            both = [self.estimate(opening, by_name[name], Way.HOT, now_ms) for name in pair]
            return min(both, key=lambda each: self._share(each.runner, now_ms))
        return self._home(opening, by_name, choices, now_ms)

    def _copied(self, opening: Opening, by_name: dict[str, Seatable], now_ms: float) -> list[str]:
        """All runners; for a large opening mostly those believed to hold it, so that copies are made one by one."""
        names = sorted(by_name)
        if opening.opening_tokens < TOLD_TOKENS or self._chance.random() < COPY_SHARE:
            return names
        held = [each for each in names if self._beliefs.holds(by_name[each].incarnation, opening.digest, now_ms)]
        return held or names

    def _home(self, opening: Opening, by_name: dict[str, Seatable], choices: Choices, now_ms: float) -> Drawn:
        owned = home_order(opening.digest, choices.homes)
        order = [name for name in owned if name in by_name] or home_order(opening.digest, list(by_name))
        for name in order[: 1 + SECOND_HOMES]:
            if self._share(by_name[name], now_ms) < choices.spill_share:
                way = Way.HOME if name == owned[0] else Way.SPILL
                return self.estimate(opening, by_name[name], way, now_ms, way is Way.HOME)
        spilled = [self.estimate(opening, by_name[name], Way.SPILL, now_ms) for name in order[: 1 + SECOND_HOMES]]
        return min(spilled, key=lambda each: each.first_ms)

    def _share(self, runner: Seatable, now_ms: float) -> float:
        return self._burdens.seats(runner.incarnation, now_ms) / runner.slots


def owners(digest: str, before: list[str], after: list[str], share: float) -> list[str]:
    """The runners that may own an opening while a plan has moved a share of the homes.

    >>> owners("o", ["r1"], ["r2"], 0.0), owners("o", ["r1"], ["r2"], 1.0)
    (['r1'], ['r2'])
    """
    return after if shifted(digest, share) else before
