"""A day: troubles at set times, planned work apart from faults, and the fault that closes it."""

from dataclasses import dataclass, field

__all__ = ["Closing", "Day", "Trouble"]

Value = str | int | float


@dataclass(frozen=True)
class Trouble:
    """One entry of a day. ``fields`` holds what goes with the kind, such as ``for_s``, ``count`` or ``how``."""

    at_s: float
    kind: str
    fields: dict[str, Value] = field(default_factory=dict)


@dataclass(frozen=True)
class Closing:
    """The fault that strikes right after the last acknowledged change."""

    kind: str
    down_s: float
    variant: str = ""


@dataclass(frozen=True)
class Day:
    """A day, with the planned work among its troubles told apart by kind."""

    name: str
    seed: int
    length_s: float
    troubles: tuple[Trouble, ...]
    closing: Closing | None = None
