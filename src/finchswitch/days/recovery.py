"""Days on which all machines are lost while many runners are in trouble, or callers press, and stay so for a while.

What comes back then knows nothing of what its runners keep, and has few runners to serve with.
"""

import random

from finchswitch.days.day import Closing, Trouble
from finchswitch.days.fields import draw_trouble
from finchswitch.days.kinds import Kind

__all__ = ["draw_recovery_closing", "draw_recovery_troubles"]

_PRESSURE_KINDS = frozenset({"burst", "hot_key", "retry_abuse", "give_up"})
_RUNNER_PREFIX = "srv_"
_CLOSINGS = (("power_off_all", ""), ("power_off_all", "timed"), ("kill_all", ""), ("kill_all", "timed"))
_DOWN_S = (0.6, 2.0)
_SHARE = (0.5, 0.85)
_BEFORE_END_S = (0.2, 4.0)
_LASTS_S = (15.0, 25.0)  # past the time in which service has to be back
_TROUBLES_MOST = 2


def draw_recovery_troubles(rng: random.Random, kinds: tuple[Kind, ...], length_s: float) -> list[Trouble]:
    """One or two kinds that lie on most runners or callers, from before the closing fault until long after it."""
    fitting = [each for each in kinds if each.name.startswith(_RUNNER_PREFIX) or each.name in _PRESSURE_KINDS]
    chosen = rng.sample(fitting or list(kinds), min(len(fitting or kinds), rng.randint(1, _TROUBLES_MOST)))
    return [_lasting(rng, kind, length_s) for kind in chosen]


def _lasting(rng: random.Random, kind: Kind, length_s: float) -> Trouble:
    drawn = draw_trouble(rng, kind, round(length_s - rng.uniform(*_BEFORE_END_S), 2))
    fields = {**drawn.fields, "for_s": round(rng.uniform(*_LASTS_S), 1)}
    if "share" in fields:
        fields["share"] = round(rng.uniform(*_SHARE), 2)
    return Trouble(drawn.at_s, drawn.kind, fields)


def draw_recovery_closing(rng: random.Random) -> Closing:
    """A fault that takes all machines, also those without a disk."""
    kind, variant = rng.choice(_CLOSINGS)
    return Closing(kind, round(rng.uniform(*_DOWN_S), 2), variant)
