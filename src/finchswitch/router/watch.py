"""The watch over tries under way: which runners went silent, and which answers had better be taken up elsewhere.

Silence of one answer says little, as its runner may be reading a long prompt for somebody else. So a runner is doubted
only when nothing at all came from it for longer than was expected. It is passed over then until something comes; a
request that may be taken up elsewhere is, if the budget of further tries has room, and any other one waits on.

Only the wait for a piece is ever cancelled, never the passing on of one: a piece that has come reaches the caller whole
before the answer is taken up behind it. While a piece is on its way to a slow caller, nothing is said of the runner.
"""

from collections.abc import AsyncGenerator
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from finchswitch.constants import SILENCE_LEAST_MS, SILENCE_SHARE, WATCH_MS
from finchswitch.router.dialect import AttemptError, Call, Fate, Head, Piece
from finchswitch.router.roster import Known

if TYPE_CHECKING:
    from finchswitch.router.node import Node

__all__ = ["Watch", "Watched"]


@dataclass(eq=False)
class Watched:
    """One try under way."""

    known: Known
    call: Call
    expected_ms: float  # how long the next piece may well take
    last_ms: float  # since when the next piece is awaited
    wait: anyio.CancelScope | None = None  # of the wait for the next piece, while there is one
    given_up: bool = False

    async def next_of(
        self, answer: AsyncGenerator[tuple[Head, Piece | None], None], now_ms: float
    ) -> tuple[Head, Piece | None] | None:
        """What comes next of the answer, or None at its end; raises an AttemptError once it is given up."""
        self.last_ms = now_ms
        with anyio.CancelScope() as self.wait:
            try:
                return await anext(answer)
            except StopAsyncIteration:
                return None
            finally:
                self.wait = None
        raise AttemptError(Fate.UNKNOWN, "silence", self.known.runner, "nothing came from it")

    def heard(self, now_ms: float) -> None:
        """A piece came; the next is due within the gap that is still timely."""
        self.known.heard(now_ms)
        self.given_up, self.expected_ms = False, self.call.gap_ms or self.expected_ms

    def give_up(self) -> None:
        """End the wait for the next piece, unless that has just come."""
        self.given_up = True
        if self.wait is not None:
            self.wait.cancel()


class Watch:
    def __init__(self, node: "Node") -> None:
        self._node = node
        self._tries: set[Watched] = set()

    def begin(self, known: Known, call: Call, first_ms: float) -> Watched:
        watched = Watched(known, call, max(first_ms, call.due_ms or 0.0), self._node.world.now_ms())
        self._tries.add(watched)
        return watched

    def end(self, watched: Watched) -> None:
        self._tries.discard(watched)

    async def look(self) -> None:
        """Look at every try under way, again and again."""
        looked_ms = self._node.world.now_ms()
        while True:
            await self._node.world.sleep(WATCH_MS)
            now_ms = self._node.world.now_ms()
            stood_ms, looked_ms = now_ms - looked_ms - WATCH_MS, now_ms
            for watched in sorted(self._tries, key=lambda each: each.last_ms):
                if stood_ms > WATCH_MS:  # this node did nothing meanwhile, so it cannot tell who was silent
                    watched.last_ms = min(now_ms, watched.last_ms + stood_ms)
                else:
                    self._judge(watched, now_ms)

    def _judge(self, watched: Watched, now_ms: float) -> None:
        if watched.wait is None or watched.given_up:
            return
        silent_ms = now_ms - max(watched.last_ms, watched.known.heard_ms)
        if silent_ms <= max(SILENCE_LEAST_MS, SILENCE_SHARE * watched.expected_ms):
            return
        if now_ms >= watched.known.down_until_ms:
            self._node.roster.suspect(watched.known, f"nothing came from it for {silent_ms:.0f} ms")
        call = watched.call
        if call.resumable and (call.most_runners or 1) > 1 and self._node.may_try_again(call.service):
            watched.give_up()
