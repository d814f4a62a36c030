"""Shapes of days: which troubles come together, and when."""

import random
from collections.abc import Iterator
from enum import StrEnum

from finchswitch.days.control_troubles import CONTROL_TROUBLES, available_control_troubles
from finchswitch.days.day import Closing, Day, Trouble, Value
from finchswitch.days.fields import CHANGE_KINDS, draw_trouble
from finchswitch.days.kinds import Kind
from finchswitch.days.planned import draw_planned_work
from finchswitch.days.recovery import draw_recovery_closing, draw_recovery_troubles

__all__ = ["Shape", "draw_days"]


class Shape(StrEnum):
    """What a day is made of."""

    ALONE = "alone"
    PAIR = "pair"
    CONTROL = "control"
    MIXED = "mixed"
    LOSSES = "losses"
    CROWDED = "crowded"
    RECOVERY = "recovery"
    PLANNED = "planned"
    ALL = "all"


_LENGTH_S = (30.0, 48.0)
_FIRST_S = 2.0
# The last tenth of a day is left to the closing fault and the recovery from it.
_LAST_SHARE = 0.75
_CLOSINGS = (
    ("power_off_all", ""),
    ("power_off_all", "timed"),
    ("power_off_all", "taken"),
    ("kill_all", ""),
    ("kill_all", "timed"),
    ("wipe_after_ack", ""),
    ("wipe_after_ack", "aimed"),
    ("wipe_after_ack", "timed"),
    ("wipe_after_ack", "taken"),
    ("wipe_after_ack", "oldest"),
)
_NO_CLOSING_CHANCE = 0.15
_DOWN_S = (0.6, 2.0)
_MIXED_KINDS = (3, 6)
_REPEAT_CHANCE = 0.4
_CROWD = (2, 4)
_CROWD_S = 6.0
_ON_CORE_CHANCE = 0.5
_SEED_BITS = 28
_STEADY_CHANGES: dict[str, Value] = {"for_s": 25.0, "gap_s": 1.0}


def draw_days(kinds: tuple[Kind, ...], shape: Shape, seed: int, count: int) -> Iterator[Day]:
    """As many days of the shape as asked for; the same seed draws the same days."""
    plain = [each for each in Shape if each is not Shape.ALL]
    for number in range(count):
        rng = random.Random(f"{shape} {seed} {number}")
        # Of all shapes in turn, each goes through its own kinds without leaving any out.
        turns, place = divmod(number, len(plain)) if shape is Shape.ALL else (number, 0)
        chosen = plain[place] if shape is Shape.ALL else shape
        yield _draw_day(rng, kinds, chosen, f"{chosen}-{seed}-{number}", turns)


def _draw_day(rng: random.Random, kinds: tuple[Kind, ...], shape: Shape, name: str, number: int) -> Day:
    length_s = round(rng.uniform(*_LENGTH_S), 1)
    troubles = _draw_troubles(rng, kinds, shape, length_s, number)
    if not any(each.kind in CHANGE_KINDS for each in troubles):
        troubles.append(Trouble(3.0, "config_storm", dict(_STEADY_CHANGES)))
    fitting = tuple(each for each in troubles if each.at_s < length_s)
    closing = _draw_closing_of(rng, shape)
    return Day(name, rng.getrandbits(_SEED_BITS), length_s, fitting, closing)


def _draw_troubles(
    rng: random.Random, kinds: tuple[Kind, ...], shape: Shape, length_s: float, number: int
) -> list[Trouble]:
    by_name = {each.name: each for each in kinds}
    control = available_control_troubles(by_name)
    any_moment = _moment(rng, length_s)
    match shape:
        case Shape.ALONE:
            return _repeated(rng, kinds[number % len(kinds)], length_s)
        case Shape.CONTROL:
            return CONTROL_TROUBLES[control[number % len(control)]](rng, any_moment)
        case Shape.PAIR:
            # Each round over the control troubles moves the kinds on by one, so that all pairs come in turn.
            turns, place = divmod(number, len(control))
            pair = CONTROL_TROUBLES[control[place]](rng, any_moment)
            kind = kinds[(place + turns) % len(kinds)]
            beside = draw_trouble(rng, kind, any_moment + round(rng.uniform(-3.0, 6.0), 2), _on_core(rng))
            return [*pair, _not_before_start(beside)]
        case Shape.LOSSES:
            return _losses(rng, control, length_s)
        case Shape.RECOVERY:
            return draw_recovery_troubles(rng, kinds, length_s)
        case Shape.PLANNED:
            return draw_planned_work(rng, kinds, length_s)
        case Shape.CROWDED:
            return _crowded(rng, kinds, control, length_s)
        case _:
            return _mixed(rng, kinds, control, length_s)


def _moment(rng: random.Random, length_s: float) -> float:
    return round(rng.uniform(_FIRST_S, length_s * _LAST_SHARE), 2)


def _on_core(rng: random.Random) -> bool:
    return rng.random() < _ON_CORE_CHANCE


def _not_before_start(trouble: Trouble) -> Trouble:
    return Trouble(max(_FIRST_S, trouble.at_s), trouble.kind, trouble.fields)


def _repeated(rng: random.Random, kind: Kind, length_s: float) -> list[Trouble]:
    """The kind two or three times."""
    return [draw_trouble(rng, kind, _moment(rng, length_s), _on_core(rng)) for _ in range(rng.randint(2, 3))]


def _mixed(rng: random.Random, kinds: tuple[Kind, ...], control: list[str], length_s: float) -> list[Trouble]:
    """Three to six kinds at any moment, some of them twice, and one or two troubles of the control side."""
    troubles: list[Trouble] = []
    for kind in rng.sample(kinds, min(len(kinds), rng.randint(*_MIXED_KINDS))):
        troubles.append(draw_trouble(rng, kind, _moment(rng, length_s), _on_core(rng)))
        if rng.random() < _REPEAT_CHANCE:
            troubles.append(draw_trouble(rng, kind, _moment(rng, length_s), _on_core(rng)))
    for name in rng.sample(control, rng.randint(1, 2)):
        troubles += CONTROL_TROUBLES[name](rng, _moment(rng, length_s))
    return troubles


def _crowded(rng: random.Random, kinds: tuple[Kind, ...], control: list[str], length_s: float) -> list[Trouble]:
    """Several troubles of the control side within a few seconds, and again later, with one kind beside them."""
    troubles: list[Trouble] = []
    for first_s in (rng.uniform(_FIRST_S, length_s / 4), rng.uniform(length_s / 2, length_s * _LAST_SHARE)):
        for name in rng.sample(control, rng.randint(*_CROWD)):
            troubles += CONTROL_TROUBLES[name](rng, round(first_s + rng.uniform(0.0, _CROWD_S), 2))
        troubles.append(draw_trouble(rng, rng.choice(kinds), first_s, _on_core(rng)))
    return troubles


_LOSS_NAMES = frozenset(
    {
        "ack-kill",
        "ack-kill-timed",
        "ack-wipe",
        "replace",
        "replace-planned",
        "replace-wipe",
        "roll-remove",
        "kill-leader",
    }
)


def _losses(rng: random.Random, control: list[str], length_s: float) -> list[Trouble]:
    """Losses of control machines one right after the other, as close as the deployment's tolerance lets them come."""
    names = [each for each in control if each in _LOSS_NAMES]
    first_s = rng.uniform(_FIRST_S, length_s / 3)
    troubles: list[Trouble] = []
    for index, name in enumerate(rng.sample(names, min(3, len(names)))):
        troubles += CONTROL_TROUBLES[name](rng, round(first_s + index * rng.uniform(0.0, 5.0), 2))
    return troubles


def _draw_closing_of(rng: random.Random, shape: Shape) -> Closing | None:
    if shape is Shape.PLANNED:
        return None  # a fault would excuse what was cut before it
    return draw_recovery_closing(rng) if shape is Shape.RECOVERY else _draw_closing(rng)


def _draw_closing(rng: random.Random) -> Closing | None:
    if rng.random() < _NO_CLOSING_CHANCE:
        return None
    kind, variant = rng.choice(_CLOSINGS)
    return Closing(kind, round(rng.uniform(*_DOWN_S), 2), variant)
