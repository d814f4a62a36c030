"""Draws the fields of a trouble: how long, how strong, how many, and which variant."""

import random

from finchswitch.days.day import Trouble, Value
from finchswitch.days.kinds import Kind

__all__ = ["CHANGE_KINDS", "CORE_TARGETS", "PLANNED_KINDS", "RETURN_SUFFIXES", "draw_trouble"]

# Planned work; all other kinds are faults.
PLANNED_KINDS = frozenset(
    {
        "bad_config",
        "big_config",
        "config_change",
        "config_race",
        "config_storm",
        "hup",
        "release",
        "roll_term",
        "scale_in",
        "scale_out",
        "seed_turnover",
    }
)
CHANGE_KINDS = frozenset({"bad_config", "big_config", "config_change", "config_race", "config_storm"})
# Kinds that have no length of their own.
_INSTANT_KINDS = PLANNED_KINDS - {"config_storm"} | {"replace_core", "replace_with_reuse", "reset_conns"}
# Kinds that may be aimed at the control machines.
_AIMED_KINDS = frozenset(
    {"disk_full", "disk_slow", "disk_stall", "herd_kill", "hup", "node_freeze", "node_kill", "node_slow", "roll_term"}
)
_ALWAYS_CORE_KINDS = frozenset({"core_cut", "disk_full", "disk_slow", "disk_stall", "replace_core"})
CORE_TARGETS = ("leader", "reader", "seed")
RETURN_SUFFIXES = ("meet", "race", "hard", "drain")
# Values between which a field is drawn, as multiples of the kind's default.
_SPREAD = (0.6, 2.0)
_SHARE_MOST = 0.6
_LENGTH_S = (1.0, 8.0)
_LONG_S = 20.0
_LONG_CHANCE = 0.15
_GAP_S = (0.3, 1.5)
_COUNT_MOST = 4
_BIG_ROUTES = (100, 400)
_STORM_GAP_S = (0.08, 0.4)
_DEFAULT_SHARE = 0.3
_X_WITHOUT_DEFAULT = (1.2, 2.0)
# Variants that the list of kinds tells in its preamble, or that the deployments' own days use beside those listed.
_FURTHER_VARIANTS = {
    "answer_lost": ("reset",),
    "core_cut": ("reset", "refuse", "all"),
    "garble": ("extra late",),
    "herd_kill": ("off", "taken all"),
    "node_cut": ("reset", "refuse", "all"),
}
_SERVER_VARIANTS = ("across", "all")
_SERVER_PREFIX = "srv_"
_VARIANT_CHANCE = 0.75
_SERVER_VARIANT_CHANCE = 0.25
_TARGET_CHANCE = 0.7
_SUFFIX_CHANCE = 0.3


def draw_trouble(rng: random.Random, kind: Kind, at_s: float, on_core: bool = False) -> Trouble:
    """A trouble of the kind with fields drawn at random, and one of its variants or none."""
    fields: dict[str, Value] = {}
    fields.update(_draw_strength(rng, kind))
    if kind.name not in _INSTANT_KINDS:
        fields["for_s"] = _draw_length(rng)
    if on_core and kind.name in _AIMED_KINDS:
        fields.pop("share", None)
        fields["on"] = "core"
        fields["count"] = 1
    variant = _draw_variant(rng, kind, on_core)
    if variant:
        fields["how"] = variant
    if kind.name == "herd_kill" and fields.get("on") == "core":
        fields.pop("count")
    return Trouble(at_s, kind.name, fields)


def _draw_strength(rng: random.Random, kind: Kind) -> dict[str, Value]:
    """The fields that the kind names, near their defaults."""
    if kind.name == "big_config":
        return {"count": rng.randint(*_BIG_ROUTES)}
    if kind.name == "config_storm":
        return {"gap_s": round(rng.uniform(*_STORM_GAP_S), 2)}
    fields: dict[str, Value] = {}
    for name, default in kind.fields.items():
        if name == "share":
            fields[name] = _draw_share(rng, kind, default)
        elif name == "count" and "share" not in kind.fields and kind.name not in _ALWAYS_CORE_KINDS:
            fields[name] = rng.randint(1, _COUNT_MOST) if kind.name in CHANGE_KINDS else 1
        elif name == "x":
            fields[name] = _draw_x(rng, kind, default)
        elif name == "gap_s":
            fields[name] = round(rng.uniform(*_GAP_S), 2)
    return fields


def _draw_share(rng: random.Random, kind: Kind, default: float | None) -> float:
    low, high = _SPREAD
    middle = _DEFAULT_SHARE if default is None else default
    most = 1.0 if kind.name == "roll_term" else _SHARE_MOST
    return round(min(most, middle * rng.uniform(low, high)), 3)


def _draw_x(rng: random.Random, kind: Kind, default: float | None) -> float:
    if default is None:
        return round(rng.uniform(*_X_WITHOUT_DEFAULT), 2)
    if default == 1.0 and kind.name in {"release", "roll_term"}:
        return float(rng.randint(1, 3))
    low, high = _SPREAD
    drawn = default * rng.uniform(low, high)
    return round(min(drawn, 0.95) if default < 1.0 else drawn, 3)


def _draw_length(rng: random.Random) -> float:
    if rng.random() < _LONG_CHANCE:
        return _LONG_S
    return round(rng.uniform(*_LENGTH_S), 1)


def _draw_variant(rng: random.Random, kind: Kind, on_core: bool) -> str:
    """One variant of the kind's own or none; a control machine may be aimed at and met on its return."""
    words: list[str] = []
    variants = kind.variants + _FURTHER_VARIANTS.get(kind.name, ())
    if variants and rng.random() < _VARIANT_CHANCE:
        words.append(rng.choice(variants))
    if kind.name.startswith(_SERVER_PREFIX) and rng.random() < _SERVER_VARIANT_CHANCE:
        words.append(rng.choice(_SERVER_VARIANTS))
    if on_core and kind.name in _AIMED_KINDS | _ALWAYS_CORE_KINDS:
        if rng.random() < _TARGET_CHANCE:
            words.append(rng.choice(CORE_TARGETS))
        words += [suffix for suffix in RETURN_SUFFIXES if rng.random() < _SUFFIX_CHANCE]
    return " ".join(words)
