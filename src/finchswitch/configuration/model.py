"""The shapes of the configuration, each checked field by field in ``check``.

Every kind of entry is a map by name, so that a named edit replaces or removes exactly one of them.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from finchswitch.constants import (
    ANSWER_MOST_MS,
    BODY_MOST_BYTES,
    CALLER_STILL_MS,
    DUE_DEFAULT_MS,
    HEAD_MOST_BYTES,
    HOT_ENTER_SHARE,
    HOT_LEAVE_SHARE,
    HOT_MOST,
    PREFILL_TOKENS_A_S,
    SLOTS,
    SPILL_BURDEN_SHARE,
    TRIES_SHARE,
)

__all__ = ["Binding", "Configuration", "Kept", "Plan", "PlanStep", "Repeat", "Route", "Runner", "Service", "Settings"]


class PlanStep(Enum):
    """How far the operator lets a plan go."""

    PAUSED = "paused"
    RUNNING = "running"
    ABANDONED = "abandoned"


class Repeat(Enum):
    """How often a request of a route may run."""

    NEVER = "never"
    RESUME = "resume"  # again from the piece at which its answer broke
    ALWAYS = "always"


@dataclass
class Service:
    """What callers' requests go to: a model by its name, or what routes lead to.

    A listed service is served by the runners that the platform lists under its name; its numbers are one runner's.
    """

    due_ms: int = DUE_DEFAULT_MS
    hot_most: int = HOT_MOST
    hot_enter_share: float = HOT_ENTER_SHARE
    hot_leave_share: float = HOT_LEAVE_SHARE
    listed: bool = False
    slots: int = SLOTS
    memory_tokens: int = 0  # that a runner keeps; 0 where nobody knows
    connections_most: int = 0  # that a runner takes from all callers; 0 where nobody knows
    health_path: str = ""
    origin: list[Any] = field(default_factory=list)  # the entry as its operator sent it, for reading it back


@dataclass
class Route:
    """Requests for a host whose path begins so go to these services, by weight."""

    host: str
    prefix: str
    targets: dict[str, int]
    timeout_ms: int
    first_aim_ms: int = DUE_DEFAULT_MS
    gap_aim_ms: int = 0  # 0 where answers are no streams
    most_runners: int = 1
    rank: int = 0
    repeat: Repeat = Repeat.NEVER
    origin: list[Any] = field(default_factory=list)


@dataclass
class Runner:
    """A runner that may be sent to, known by its identity; its address comes from the platform's list."""

    slots: int = SLOTS
    prefill_tokens_per_s: int = PREFILL_TOKENS_A_S


@dataclass
class Binding:
    """Which runners serve a service."""

    service: str
    runners: list[str]


@dataclass
class Kept:
    """Something that operators keep here and that nothing acts on."""

    origin: list[Any]


@dataclass
class Plan:
    """A move: these runners leave, those arrive, and these bindings follow."""

    leaving: list[str]
    arriving: list[str]
    bindings: list[str]
    step: PlanStep = PlanStep.RUNNING


@dataclass
class Settings:
    """Budgets of the whole fleet."""

    tries_share: float = TRIES_SHARE
    spill_share: float = SPILL_BURDEN_SHARE
    answer_most_ms: int = ANSWER_MOST_MS
    revision: int = 0  # the operator's own number of this configuration; 0 where operators keep none
    body_most_bytes: int = BODY_MOST_BYTES
    head_most_bytes: int = HEAD_MOST_BYTES
    head_wait_ms: int = CALLER_STILL_MS
    idle_wait_ms: int = CALLER_STILL_MS
    origin: list[Any] = field(default_factory=list)


@dataclass
class Configuration:
    services: dict[str, Service] = field(default_factory=dict)
    runners: dict[str, Runner] = field(default_factory=dict)
    bindings: dict[str, Binding] = field(default_factory=dict)
    routes: dict[str, Route] = field(default_factory=dict)
    plans: dict[str, Plan] = field(default_factory=dict)
    kept: dict[str, Kept] = field(default_factory=dict)
    settings: Settings = field(default_factory=Settings)
