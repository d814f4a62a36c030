"""Breadth-first search over the states of a model, so that the first violation found has a shortest schedule."""

import time
from dataclasses import dataclass, field

from finchswitch.checking.actions import actions, describe
from finchswitch.checking.beginning import initial_state
from finchswitch.checking.history import Violation
from finchswitch.checking.model import Action, Model
from finchswitch.checking.state import Scenario, State, fingerprint

__all__ = ["Found", "Limits", "search"]

_LOOK_EVERY = 512  # states between two looks at the clock


@dataclass(frozen=True)
class Limits:
    depth: int = 100
    states: int = 10_000_000
    seconds: float = 600.0


@dataclass
class Found:
    """The outcome of a search."""

    scenario: str
    states: int = 0
    steps: int = 0  # of which many led to states already known
    depth: int = 0  # every schedule up to this length was searched
    seconds: float = 0.0
    whole: bool = False  # nothing was left to search within the troubles allowed
    violation: str = ""
    schedule: list[str] = field(default_factory=list)


_Parents = dict[bytes, tuple[bytes, Action] | None]


def search(scenario: Scenario, limits: Limits) -> Found:
    model, found, began_s = Model(scenario), Found(scenario.name), time.perf_counter()
    initial = initial_state(model)
    parents: _Parents = {fingerprint(initial): None}
    level = [initial]
    while level and found.depth < limits.depth:
        following: list[State] = []
        for at, state in enumerate(level):
            if at % _LOOK_EVERY == 0 and _spent(len(parents), began_s, limits):
                return _summed(found, parents, began_s)
            if not _expand(model, state, parents, following, found):
                return _summed(found, parents, began_s)
        level, found.depth = following, found.depth + 1
    found.whole = not level
    return _summed(found, parents, began_s)


def _spent(states: int, began_s: float, limits: Limits) -> bool:
    return states >= limits.states or time.perf_counter() - began_s >= limits.seconds


def _summed(found: Found, parents: _Parents, began_s: float) -> Found:
    found.states, found.seconds = len(parents), time.perf_counter() - began_s
    return found


def _expand(model: Model, state: State, parents: _Parents, following: list[State], found: Found) -> bool:
    """Add the unknown states after this one; False when a step to one of them breaks an invariant."""
    key = fingerprint(state)
    for action in actions(model, state):
        found.steps += 1
        try:
            after = model.apply(state, action)
        except Violation as violation:
            found.violation = str(violation)
            found.schedule = [describe(model, each) for each in [*_path(key, parents), action]]
            return False
        after_key = fingerprint(after)
        if after_key not in parents:
            parents[after_key] = (key, action)
            following.append(after)
    return True


def _path(key: bytes, parents: _Parents) -> list[Action]:
    path: list[Action] = []
    while (step := parents[key]) is not None:
        key, action = step
        path.append(action)
    return path[::-1]
