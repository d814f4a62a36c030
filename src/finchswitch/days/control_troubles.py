"""Troubles of the control side, each as a short list of entries that belong together, by name."""

import random
from collections.abc import Callable

from finchswitch.days.day import Trouble, Value
from finchswitch.days.fields import CORE_TARGETS, RETURN_SUFFIXES
from finchswitch.days.kinds import Kind

__all__ = ["CONTROL_TROUBLES", "available_control_troubles"]

LONG_CUT_S = 20.0
_STORM_CHANGES = 300
_STORM_GAP_S = 0.1
_DISK_KINDS = ("disk_slow", "disk_stall", "disk_full")
_CUT_VARIANTS = ("", "one_way", "seeds", "both", "reset", "refuse")

Maker = Callable[[random.Random, float], list[Trouble]]


def _entry(kind: str, variant: str = "", **fields: Value) -> Maker:
    """A trouble with fixed fields, aimed and met on its return at random where its kind allows that."""

    def make(rng: random.Random, at_s: float) -> list[Trouble]:
        words = [variant] if variant else []
        if fields.get("on") == "core" or kind == "core_cut":
            words += [rng.choice(CORE_TARGETS)] if rng.random() < 0.7 else []
            words += [suffix for suffix in RETURN_SUFFIXES if rng.random() < 0.3]
        how: dict[str, Value] = {"how": " ".join(words)} if words else {}
        return [Trouble(at_s, kind, {**fields, **how})]

    return make


def _in_storm(maker: Maker) -> Maker:
    """The trouble in the midst of a storm of changes."""

    def make(rng: random.Random, at_s: float) -> list[Trouble]:
        storm = Trouble(max(0.5, at_s - 2.0), "config_storm", {"for_s": 15.0, "gap_s": 0.3})
        return [storm, *maker(rng, at_s)]

    return make


def _again(maker: Maker, after_s: float) -> Maker:
    """The trouble, and once more later."""

    def make(rng: random.Random, at_s: float) -> list[Trouble]:
        return [*maker(rng, at_s), *maker(rng, at_s + after_s)]

    return make


def _wipe_after_replacement(rng: random.Random, at_s: float) -> list[Trouble]:
    replaced = Trouble(at_s, "replace_core", {"x": 1.0})
    return [replaced, Trouble(at_s + rng.uniform(3.0, 9.0), "after_ack_wipe", {"for_s": 2.0})]


def _storm_of_hundreds(rng: random.Random, at_s: float) -> list[Trouble]:
    storm = Trouble(max(0.5, at_s - 5.0), "config_storm", {"count": _STORM_CHANGES, "gap_s": _STORM_GAP_S})
    killed: dict[str, Value] = {"on": "core", "count": 1, "for_s": 3.0, "how": "power leader"}
    return [storm, Trouble(at_s + 4.0, "node_kill", killed)]


CONTROL_TROUBLES: dict[str, Maker] = {
    **{f"cut-{name or 'silent'}": _entry("core_cut", name, count=1, for_s=LONG_CUT_S) for name in _CUT_VARIANTS},
    "cut-storm": _in_storm(_entry("core_cut", count=1, for_s=LONG_CUT_S)),
    "cut-twice": _again(_entry("core_cut", count=1, for_s=8.0), 16.0),
    "node-cut": _entry("node_cut", share=0.4, for_s=LONG_CUT_S),
    "ack-kill": _again(_entry("after_ack_kill", "kill", for_s=3.0), 12.0),
    "ack-kill-timed": _again(_entry("after_ack_kill", "timed", for_s=3.0), 12.0),
    "ack-kill-taken": _again(_entry("after_ack_kill", "taken", for_s=3.0), 12.0),
    "ack-wipe": _again(_entry("after_ack_wipe", for_s=2.0), 12.0),
    "replace": _again(_entry("replace_core", x=1.0), 14.0),
    "replace-planned": _again(_entry("replace_core", "planned", x=2.0), 14.0),
    "replace-wipe": _wipe_after_replacement,
    "herd": _entry("herd_kill", on="core", for_s=2.0),
    "herd-power": _entry("herd_kill", "power", on="core", for_s=2.0),
    "herd-taken": _entry("herd_kill", "taken", on="core", for_s=2.0),
    **{each: _in_storm(_entry(each, count=1, for_s=10.0)) for each in _DISK_KINDS},
    "disk-slow-leader": _in_storm(_entry("disk_slow", "leader", count=1, for_s=15.0, x=30.0)),
    "seeds": _again(_entry("seed_turnover"), 10.0),
    "clock-back": _in_storm(_entry("clock_step", "back", share=0.6, x=4000.0, for_s=8.0)),
    "clock-ahead": _in_storm(_entry("clock_step", "ahead", share=0.6, x=4000.0, for_s=8.0)),
    "roll-remove": _entry("roll_term", "remove", on="core", count=1, gap_s=2.0),
    "roll-busy": _in_storm(_entry("roll_term", "busy", on="core", gap_s=3.0)),
    "races": _entry("config_race", count=8, gap_s=0.7),
    "storm": _storm_of_hundreds,
    "bad": _entry("bad_config", count=9, gap_s=0.4),
    "acks-lost": _in_storm(_entry("ack_lost", x=0.7, for_s=15.0)),
    "freeze-leader": _in_storm(_entry("node_freeze", "leader", on="core", count=1, for_s=8.0)),
    "slow-leader": _in_storm(_entry("node_slow", "leader", on="core", count=1, for_s=10.0, x=10.0)),
    "kill-leader": _again(_entry("node_kill", "leader race hard", on="core", count=1, for_s=3.0), 7.0),
}


def available_control_troubles(kinds: dict[str, Kind]) -> list[str]:
    """Names of those whose kinds the deployment lists."""
    probe = random.Random(0)
    return [name for name, make in CONTROL_TROUBLES.items() if all(each.kind in kinds for each in make(probe, 10.0))]
