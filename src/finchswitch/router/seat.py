"""A seat from its grant to its end: its burden is counted while it lasts, and what it taught is kept."""

from enum import Enum

from finchswitch.affinity import Beliefs, Burdens, Drawn
from finchswitch.state_machines import StateMachine, load_transitions
from finchswitch.transport import World

__all__ = ["Seat", "SeatState"]


class SeatState(Enum):
    GRANTED = "granted"
    STREAMING = "streaming"
    FREED = "freed"


class SeatEvent(Enum):
    BEGIN = "begin"
    FREE = "free"


_TRANSITIONS = load_transitions("seat", SeatState, SeatEvent)


class Seat:
    def __init__(self, world: World, drawn: Drawn, burdens: Burdens, beliefs: Beliefs, rank: int = 0) -> None:
        self._world, self._drawn, self._burdens, self._beliefs = world, drawn, burdens, beliefs
        self._state_machine = StateMachine(_TRANSITIONS, drawn.runner.runner)
        self._granted_ms = world.now_ms()
        taken = (drawn.prefill_tokens, drawn.ms_a_token, self._granted_ms, rank)
        burdens.take(self, drawn.runner.incarnation, *taken)
        beliefs.granted(drawn.runner.incarnation, drawn.opening)

    def begun(self, weights: str) -> None:
        """The first piece came: the runner holds the opening now, under these weights."""
        self._state_machine.take(SeatEvent.BEGIN)
        incarnation, now_ms = self._drawn.runner.incarnation, self._world.now_ms()
        learned = "" if self._drawn.runner.prefill_tokens_per_s else self._drawn.runner.service
        self._burdens.begun(self, incarnation, now_ms, learned)
        self._beliefs.answered(incarnation, weights)
        self._beliefs.settled(incarnation, self._drawn.opening.digest)
        opening, most_tokens = self._drawn.opening, self._drawn.runner.memory_tokens
        self._beliefs.sent(incarnation, opening.digest, now_ms, opening.opening_tokens, most_tokens)

    def free(self) -> None:
        incarnation, now_ms = self._drawn.runner.incarnation, self._world.now_ms()
        self._burdens.begun(self, incarnation, now_ms)
        if self._state_machine.state is SeatState.GRANTED:
            self._beliefs.settled(incarnation, self._drawn.opening.digest)
        self._state_machine.take(SeatEvent.FREE)
        self._burdens.free(incarnation, self._drawn.opening.service, now_ms - self._granted_ms)
