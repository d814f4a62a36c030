"""State charts: tables in files beside this one, read and interpreted here.

A chart file names its initial state and its moves, each ``[from, event, to]``. A ``StateMachine`` stands in one
state of a chart; ``take`` is the one function by which it changes. Loading checks the file against the enums
of the code, so a state that only one of the two knows is found at start.
"""

import tomllib
from enum import Enum
from importlib import resources
from typing import Generic, TypeVar

from finchswitch.errors import ErrorKind, FleetError

__all__ = ["Chart", "StateMachine", "load_transitions"]

State = TypeVar("State", bound=Enum)
Event = TypeVar("Event", bound=Enum)


class Chart(Generic[State, Event]):
    def __init__(self, name: str, initial: State, moves: dict[tuple[State, Event], State]) -> None:
        self.name, self.initial, self.moves = name, initial, moves


class StateMachine(Generic[State, Event]):
    """One thing's place in a chart."""

    def __init__(self, chart: Chart[State, Event], whose: str = "") -> None:
        self._chart, self._whose = chart, whose
        self.state: State = chart.initial

    def can(self, event: Event) -> bool:
        return (self.state, event) in self._chart.moves

    def take(self, event: Event) -> State:
        following = self._chart.moves.get((self.state, event))
        if following is None:
            reason = f"no move from {self.state.name} on {event.name}"
            raise FleetError(ErrorKind.INVALID, f"chart {self._chart.name}", self._whose, reason)
        self.state = following
        return following


def load_transitions(name: str, states: type[State], events: type[Event]) -> Chart[State, Event]:
    raw = tomllib.loads(resources.files(__package__).joinpath(f"{name}.toml").read_text("utf-8"))
    moves: dict[tuple[State, Event], State] = {}
    for origin, event, target in raw["moves"]:
        key = (states[origin], events[event])
        if key in moves:
            raise FleetError(ErrorKind.INVALID, f"chart {name}", origin, f"two moves on {event}")
        moves[key] = states[target]
    unreached = set(states) - set(moves.values()) - {states[raw["initial"]]}
    unheard = set(events) - {event for _, event in moves}
    if unreached or unheard:
        named = ", ".join(sorted(each.name for each in (*unreached, *unheard)))
        raise FleetError(ErrorKind.INVALID, f"chart {name}", name, f"nothing leads to or uses {named}")
    return Chart(name, states[raw["initial"]], moves)
