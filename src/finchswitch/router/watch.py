"""The watch over tries under way: which runners went silent, and which answers had better be taken up elsewhere.

Silence of one answer says little, as its runner may be reading a long prompt for somebody else. So a runner is doubted
only when nothing at all came from it for longer than was expected. It is passed over then until something comes; a
request that may be taken up elsewhere is, if the budget of further tries has room, and any other one waits on.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from finchswitch.constants import SILENCE_LEAST_MS, SILENCE_SHARE, WATCH_MS
from finchswitch.router.dialect import Call
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
    last_ms: float  # when the last piece came, or the request went
    scope: anyio.CancelScope
    given_up: bool = False

    def heard(self, now_ms: float) -> None:
        """A piece came; the next is due within the gap that is still timely."""
        self.known.heard(now_ms)
        self.last_ms, self.expected_ms = now_ms, self.call.gap_ms or self.expected_ms


class Watch:
    def __init__(self, node: "Node") -> None:
        self._node = node
        self._tries: set[Watched] = set()

    def begin(self, known: Known, call: Call, first_ms: float, scope: anyio.CancelScope) -> Watched:
        watched = Watched(known, call, max(first_ms, call.due_ms or 0.0), self._node.world.now_ms(), scope)
        self._tries.add(watched)
        return watched

    def end(self, watched: Watched) -> None:
        self._tries.discard(watched)

    async def look(self) -> None:
        """Look at every try under way, again and again."""
        while True:
            await self._node.world.sleep(WATCH_MS)
            now_ms = self._node.world.now_ms()
            for watched in sorted(self._tries, key=lambda each: each.last_ms):
                self._judge(watched, now_ms)

    def _judge(self, watched: Watched, now_ms: float) -> None:
        silent_ms = now_ms - max(watched.last_ms, watched.known.heard_ms)
        if silent_ms <= max(SILENCE_LEAST_MS, SILENCE_SHARE * watched.expected_ms):
            return
        if now_ms >= watched.known.down_until_ms:
            self._node.roster.suspect(watched.known, f"nothing came from it for {silent_ms:.0f} ms")
        call = watched.call
        if call.resumable and (call.most_runners or 1) > 1 and self._node.may_try_again(call.service):
            watched.given_up = True
            self._tries.discard(watched)
            watched.scope.cancel()
