"""The shapes of the configuration, as pyserde reads them.

Every kind of entry is a map by name, so that a named edit replaces or removes exactly one of them.
"""

from enum import Enum

from serde import field, serde, strict

from finchswitch.constants import (
    ANSWER_MOST_MS,
    DUE_DEFAULT_MS,
    HOT_ENTER_SHARE,
    HOT_LEAVE_SHARE,
    HOT_MOST,
    PREFILL_TOKENS_A_S,
    SPILL_BURDEN_SHARE,
    TRIES_SHARE,
)

__all__ = ["Binding", "Creed", "Plan", "PlanStep", "Runner", "Service", "Settings"]


class PlanStep(Enum):
    """How far the operator lets a plan go."""

    PAUSED = "paused"
    RUNNING = "running"
    ABANDONED = "abandoned"


@serde(type_check=strict, deny_unknown_fields=True, rename_all="camelcase")
class Service:
    """A model that callers name."""

    due_ms: int = DUE_DEFAULT_MS
    hot_most: int = HOT_MOST
    hot_enter_share: float = HOT_ENTER_SHARE
    hot_leave_share: float = HOT_LEAVE_SHARE


@serde(type_check=strict, deny_unknown_fields=True, rename_all="camelcase")
class Runner:
    """A runner that may be sent to, known by its identity; its address comes from the platform's list."""

    slots: int = 50
    prefill_tokens_per_s: int = PREFILL_TOKENS_A_S


@serde(type_check=strict, deny_unknown_fields=True, rename_all="camelcase")
class Binding:
    """Which runners serve a service."""

    service: str
    runners: list[str]


@serde(type_check=strict, deny_unknown_fields=True, rename_all="camelcase")
class Plan:
    """A move: these runners leave, those arrive, and these bindings follow."""

    leaving: list[str]
    arriving: list[str]
    bindings: list[str]
    step: PlanStep = PlanStep.RUNNING


@serde(type_check=strict, deny_unknown_fields=True, rename_all="camelcase")
class Settings:
    """Budgets of the whole fleet."""

    tries_share: float = TRIES_SHARE
    spill_share: float = SPILL_BURDEN_SHARE
    answer_most_ms: int = ANSWER_MOST_MS


@serde(type_check=strict, deny_unknown_fields=True, rename_all="camelcase")
class Creed:
    services: dict[str, Service] = field(default_factory=dict)
    runners: dict[str, Runner] = field(default_factory=dict)
    bindings: dict[str, Binding] = field(default_factory=dict)
    plans: dict[str, Plan] = field(default_factory=dict)
    settings: Settings = field(default_factory=Settings)
