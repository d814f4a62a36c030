"""The watch over tries under way: which runners went silent, and which answers had better be taken up elsewhere.

Silence of one answer says little, as its runner may be reading a long prompt for somebody else. So a runner is doubted
only when nothing at all came from it for longer than was expected. It is passed over then until something comes. A
request is taken from it only where it can go on elsewhere: it may be resumed behind what was passed on, another runner
may be sent to, and the budget of further tries has room. Any other one waits on, as silence is no reason to end it.

Only the wait for a piece is ever cancelled, never the passing on of one: a piece that has come reaches the caller whole
before the answer is taken up behind it. While a piece is on its way to a slow caller, nothing is said of the runner.
"""

from collections.abc import AsyncGenerator
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from finchswitch.constants import SILENCE_LEAST_MS, SILENCE_SHARE, WATCH_MS
from finchswitch.router.dialect import AttemptError, Call, Fate, Head, Piece
from finchswitch.router.known_runner import Known

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
    tried: frozenset[str] = frozenset()  # runners that were tried before this one
    can_be_taken_up: bool = True  # another runner could go on behind what was passed on
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

    def begin(self, known: Known, call: Call, first_ms: float, tried: frozenset[str] = frozenset()) -> Watched:
        watched = Watched(known, call, max(first_ms, call.due_ms or 0.0), self._node.world.now_ms(), tried)
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
            if stood_ms > WATCH_MS:  # this node did nothing meanwhile, so it cannot tell who was silent
                for watched in self._tries:
                    watched.last_ms = min(now_ms, watched.last_ms + stood_ms)
            else:
                self._judge(sorted(self._tries, key=lambda each: each.last_ms), now_ms)

    def _judge(self, tries: list[Watched], now_ms: float) -> None:
        """Doubt all silent runners first: none of them is one that an answer could go on at."""
        silent = [watched for watched in tries if _is_silent(watched, now_ms)]
        for watched in silent:
            if now_ms >= watched.known.down_until_ms:
                silent_ms = now_ms - max(watched.last_ms, watched.known.heard_ms)
                self._node.roster.suspect(watched.known, f"nothing came from it for {silent_ms:.0f} ms")
        for watched in silent:
            if self._can_go_on_elsewhere(watched) and self._node.may_try_again(watched.call.service):
                watched.give_up()

    def _can_go_on_elsewhere(self, watched: Watched) -> bool:
        if not (watched.call.resumable and watched.can_be_taken_up):
            return False
        return self._node.has_another_runner(watched.call, {*watched.tried, watched.known.runner})


def _is_silent(watched: Watched, now_ms: float) -> bool:
    """Whether its runner sent nothing, to it or to others, for longer than was expected."""
    if watched.wait is None or watched.given_up:
        return False
    silent_ms = now_ms - max(watched.last_ms, watched.known.heard_ms)
    return silent_ms > max(SILENCE_LEAST_MS, SILENCE_SHARE * watched.expected_ms)
