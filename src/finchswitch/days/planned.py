"""Troubles of a day with nothing but planned work: restarts in turn, signals that fall into them, and changes."""

import random

from finchswitch.days.day import Trouble
from finchswitch.days.kinds import Kind

__all__ = ["draw_planned_work"]

_FIRST_S = 2.0
_LAST_SHARE = 0.7  # of the day: the last stops are to end within it
_RESTARTS, _RELOADS = (2, 4), (5, 10)
_AT_ONCE, _GAP_S = (1, 3), (0.4, 2.0)
_RESTARTED_SHARE, _RELOADED_SHARE = (0.3, 1.0), (0.3, 1.0)
_ROUTES = (50, 350)


def draw_planned_work(rng: random.Random, kinds: tuple[Kind, ...], length_s: float) -> list[Trouble]:
    """Restarts in series that overlap, many a SIGHUP beside them, and of the rest what the deployment knows."""
    known = {each.name for each in kinds}
    last_s = length_s * _LAST_SHARE

    def moment() -> float:
        return round(rng.uniform(_FIRST_S, last_s), 2)

    troubles = [_restarts(rng, moment()) for _ in range(rng.randint(*_RESTARTS))]
    troubles += [_reloads(rng, moment()) for _ in range(rng.randint(*_RELOADS))]
    others = [
        Trouble(moment(), "config_storm", {"for_s": round(rng.uniform(3.0, 12.0), 1), "gap_s": 0.5}),
        Trouble(moment(), "config_race", {"count": rng.randint(2, 5), "gap_s": 1.0}),
        Trouble(moment(), "big_config", {"count": rng.randint(*_ROUTES)}),
        Trouble(moment(), "release", {"share": 0.5, "gap_s": 2.0}),
        Trouble(moment(), "seed_turnover"),
    ]
    troubles += [each for each in others if rng.random() < 0.6]
    return [each for each in troubles if each.kind in known]


def _restarts(rng: random.Random, at_s: float) -> Trouble:
    share, gap_s = round(rng.uniform(*_RESTARTED_SHARE), 2), round(rng.uniform(*_GAP_S), 2)
    return Trouble(at_s, "roll_term", {"share": share, "x": rng.randint(*_AT_ONCE), "gap_s": gap_s})


def _reloads(rng: random.Random, at_s: float) -> Trouble:
    share, gap_s = round(rng.uniform(*_RELOADED_SHARE), 2), round(rng.uniform(*_GAP_S), 2)
    return Trouble(at_s, "hup", {"share": share, "gap_s": gap_s})
