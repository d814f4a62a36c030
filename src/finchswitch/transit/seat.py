"""A seat from its grant to its end: its burden is counted while it lasts, and what it taught is kept."""

from enum import Enum

from finchswitch.affinity import Beliefs, Burdens, Drawn
from finchswitch.charts import Walker, load_chart
from finchswitch.wire import World

__all__ = ["Seat", "SeatState"]


class SeatState(Enum):
    GRANTED = "granted"
    STREAMING = "streaming"
    FREED = "freed"


class SeatEvent(Enum):
    BEGIN = "begin"
    FREE = "free"


_CHART = load_chart("seat", SeatState, SeatEvent)


class Seat:
    def __init__(self, world: World, drawn: Drawn, burdens: Burdens, beliefs: Beliefs) -> None:
        self._world, self._drawn, self._burdens, self._beliefs = world, drawn, burdens, beliefs
        self._walker = Walker(_CHART, drawn.runner.runner)
        self._grantedMs = world.nowMs()
        msAToken = 1000 / drawn.runner.prefillTokensPerS
        burdens.take(self, drawn.runner.incarnation, drawn.prefillTokens, msAToken, self._grantedMs)
        beliefs.granted(drawn.runner.incarnation, drawn.opening)

    def begun(self, weights: str) -> None:
        """The first piece came: the runner holds the opening now, under these weights."""
        self._walker.take(SeatEvent.BEGIN)
        incarnation, nowMs = self._drawn.runner.incarnation, self._world.nowMs()
        self._burdens.begun(self, incarnation, nowMs)
        self._beliefs.answered(incarnation, weights)
        self._beliefs.settled(incarnation, self._drawn.opening.digest)
        self._beliefs.sent(incarnation, self._drawn.opening.digest, nowMs)

    def free(self) -> None:
        incarnation, nowMs = self._drawn.runner.incarnation, self._world.nowMs()
        self._burdens.begun(self, incarnation, nowMs)
        if self._walker.state is SeatState.GRANTED:
            self._beliefs.settled(incarnation, self._drawn.opening.digest)
        self._walker.take(SeatEvent.FREE)
        self._burdens.free(incarnation, self._drawn.opening.service, nowMs - self._grantedMs)
