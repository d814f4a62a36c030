"""The phases of a program's life, and a record of the signals that came in each of them.

``phase`` moves by the chart ``process``. Every signal and every move is logged, so that the output of a process tells
which signal it took, in which phase, and how its stop went on.
"""

import signal
from collections import Counter
from enum import Enum

import anyio

from finchswitch.logs import prefix
from finchswitch.metrics import Figure
from finchswitch.state_machines import StateMachine, load_transitions

__all__ = ["Lifecycle", "Phase", "PhaseEvent"]


class Phase(Enum):
    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"
    ENDING = "ending"


class PhaseEvent(Enum):
    OPENED = "opened"
    STOP = "stop"
    STOPPED = "stopped"


_CHART = load_transitions("process", Phase, PhaseEvent)


class Lifecycle:
    """Where one program stands, what signals it got, and how many answers its stop had to cut."""

    def __init__(self, program: str) -> None:
        self._log = prefix(program)
        self._machine = StateMachine(_CHART, program)
        self._received: Counter[str] = Counter()
        self.stop_asked = anyio.Event()
        self.answers_cut = 0

    @property
    def phase(self) -> Phase:
        return self._machine.state

    def received(self, number: signal.Signals) -> None:
        """Record a signal; raises nothing, whatever the phase."""
        self._received[f"{number.name} {self.phase.value}"] += 1
        self._log.notice("{} while {}.", number.name, self.phase.value)

    def move(self, event: PhaseEvent) -> None:
        """Change the phase; raises a ``FleetError`` for a move that the chart does not have."""
        self._log.notice("Now {}.", self._machine.take(event).value)

    def figures(self) -> list[Figure]:
        """The phase, the signals by name and phase, and the answers that the stop cut."""
        phases = {each.value: float(each is self.phase) for each in Phase}
        received = {name: float(count) for name, count in self._received.items()}
        return [
            Figure("finchswitch_phase", "1 for the phase that the program is in.", phases, "phase"),
            Figure("finchswitch_signals", "Signals received, by name and phase.", received, "signal"),
            Figure.single("finchswitch_answers_cut", "Answers that the stop had to cut.", float(self.answers_cut)),
        ]
