"""The two deployments of the brief, at their sizes and with their mix of short and long requests."""

from dataclasses import dataclass, field
from random import Random
from typing import Any

from finchswitch.bounds import Bounds

__all__ = ["CORE", "DEPLOYMENTS", "VILLAGE", "Deployment", "Traffic"]


@dataclass(frozen=True)
class Traffic:
    """One service's callers: rate, shared openings and how skewed they are, own part, answer length."""

    service: str
    per_s: float
    openings: int
    opening_tokens: int
    own_tokens: int
    pieces: int
    repeatable: bool
    due_ms: int
    skew: float = 1.0

    def body(self, chance: Random, at: int, drawn: int | None = None) -> dict[str, Any]:
        """A request body; ``drawn`` fixes the opening, otherwise it is drawn by the skew."""
        if drawn is None:
            weights = [1 / (rank + 1) ** self.skew for rank in range(self.openings)]
            drawn = chance.choices(range(self.openings), weights)[0]
        opening = f"{self.service} {drawn:03d}. ".ljust(16, ".") * (self.opening_tokens // 4)
        own = f"case {at} ".ljust(8, ".") * (self.own_tokens // 2)
        messages = [{"role": "system", "content": opening}, {"role": "user", "content": own}]
        return {"model": self.service, "stream": True, "max_tokens": self.pieces, "messages": messages}


@dataclass(frozen=True)
class Deployment:
    name: str
    districts: list[str]  # one entry a light machine
    cores: int
    runners: int
    slots: int
    traffic: list[Traffic]
    spare: list[str] = field(default_factory=list)  # runners of the hall that is moved to
    seeds: str = "accord"  # which kind of process the seeds name
    bounds: Bounds = field(default_factory=Bounds)
    core_districts: list[str] = field(default_factory=list)  # one entry a control machine; empty for one district

    def runner_names(self) -> list[str]:
        return [f"{self.name}-r{at}" for at in range(1, self.runners + 1)]

    def configuration(self) -> dict[str, Any]:
        names = self.runner_names()
        return {
            "services": {each.service: {"dueMs": each.due_ms} for each in self.traffic},
            "runners": {name: {"slots": self.slots} for name in [*names, *self.spare]},
            "bindings": {each.service: {"service": each.service, "runners": names} for each in self.traffic},
            "plans": {},
            "settings": {},
        }


DEPLOYMENTS: dict[str, Deployment] = {
    "hobart": Deployment(
        name="hobart",
        districts=["north", "north", "south", "south", "east", "west"],
        cores=3,
        runners=5,
        slots=60,
        traffic=[
            Traffic("counter", 90, 24, 100, 30, 12, False, 2_000),
            Traffic("files", 6, 6, 13_000, 400, 60, True, 8_000),
        ],
        spare=["hobart-n1"],
    ),
    "zuerich": Deployment(
        name="zuerich",
        districts=["kreis1", "kreis1", "kreis1", "kreis4", "kreis4", "kreis4", "kreis5", "kreis5"],
        cores=3,
        runners=6,
        slots=50,
        traffic=[
            Traffic("rulings", 110, 24, 100, 30, 12, False, 2_000),
            Traffic("rounds", 8, 8, 13_000, 200, 60, True, 8_000),
        ],
        spare=["zuerich-n1"],
    ),
}

VILLAGE = Deployment(
    name="village",
    districts=["hill", "hill", "lake", "lake"],
    cores=3,
    runners=3,
    slots=20,
    traffic=[
        Traffic("rulings", 9, 6, 100, 30, 8, False, 3_000),
        Traffic("rounds", 1, 2, 6_000, 100, 30, True, 8_000),
    ],
    spare=["village-n1"],
)
CORE = Deployment(name="core", districts=[], cores=3, runners=1, slots=1, traffic=[])
DEPLOYMENTS["village"] = VILLAGE
