"""What one soak is made of: sizes, times and the troubles that it brings, drawn from its seed."""

from dataclasses import dataclass
from enum import Enum
from random import Random

__all__ = ["Mix", "Plan"]

GRACES_S = (5, 8, 12)
EVENT_MS = 60.0  # between two events of an answer: a few hundred a second of all are what one loop carries with ease
EVENTS_OF_ANSWERS = ((2, 6), (8, 25), (20, 45))  # up to three seconds, of which most end within a stop


class Mix(Enum):
    """Which troubles come."""

    PLANNED = "planned"  # signals, restarts, changes and releases of runners
    MIXED = "mixed"  # processes are killed and frozen as well


@dataclass(frozen=True)
class Plan:
    """One soak. Times are in the unit of the name."""

    seed: int
    seconds: float = 30.0
    edges: int = 4
    cores: int = 3
    runners: int = 3
    clients: int = 24
    mix: Mix = Mix.PLANNED
    grace_s: int = 8
    series_pause_s: float = 1.0  # between two series of signals, on average

    @classmethod
    def drawn(cls, seed: int, seconds: float, edges: int, cores: int, clients: int, mix: Mix | None) -> "Plan":
        """The plan of a seed; sizes are given, the grace time and, where none is given, the mix are drawn."""
        chance = Random(seed)
        grace_s, pause_s = chance.choice(GRACES_S), chance.uniform(0.3, 2.5)
        drawn = chance.choice([Mix.PLANNED, Mix.PLANNED, Mix.MIXED])
        return cls(seed, seconds, edges, cores, 3, clients, mix or drawn, grace_s, pause_s)
