"""The news that a node holds: for each part its newest committed body, and the last changes before it.

Generations never fall here. A follower that names what it holds gets the changes since, or a snapshot when
they are no longer kept. A waiter is woken by the next news of any part.
"""

from collections import deque
from typing import Any

import anyio

from finchswitch.configuration import apply_edits, edits_between
from finchswitch.constants import NEWS_KEEP
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.transport import Message, field, reading

__all__ = ["NewsBook"]


class NewsBook:
    def __init__(self) -> None:
        self._items: dict[str, tuple[int, dict[str, Any]]] = {}
        self._changes: dict[str, deque[tuple[int, int, list[Message]]]] = {}
        self._event = anyio.Event()

    def generations(self) -> dict[str, int]:
        return {part: generation for part, (generation, _) in self._items.items()}

    def generation(self, part: str) -> int:
        return self._items[part][0] if part in self._items else -1

    def body(self, part: str) -> dict[str, Any]:
        return self._items[part][1] if part in self._items else {}

    def take(self, part: str, generation: int, body: dict[str, Any]) -> bool:
        """Take a newer body; older and equal ones change nothing."""
        held, before = self._items.get(part, (-1, {}))
        if generation <= held:
            return False
        if held >= 0:
            kept = self._changes.setdefault(part, deque(maxlen=NEWS_KEEP))
            kept.append((held, generation, edits_between(before, body)))
        self._items[part] = (generation, body)
        self._event.set()
        self._event = anyio.Event()
        return True

    async def wait_news(self, have: dict[str, int], wait_ms: float) -> Message:
        """What is newer than ``have``, at once or within the time; empty when there was nothing."""
        event, news = self._event, self.since(have)
        if not news:
            with anyio.move_on_after(wait_ms / 1000):
                await event.wait()
            news = self.since(have)
        return news

    async def answer_follower(self, body: Message, peer: str) -> Message:
        """Answer a ``news.follow`` ask, the same on either plane."""
        have, hold_ms = field(body, "have", dict, peer), field(body, "holdMs", int, peer)
        return {"news": await self.wait_news(have, hold_ms)}

    def since(self, have: dict[str, int]) -> Message:
        return {
            part: self._since(part, have.get(part, -1))
            for part, (generation, _) in self._items.items()
            if generation > have.get(part, -1)
        }

    def _since(self, part: str, base: int) -> Message:
        generation, body = self._items[part]
        steps: list[tuple[int, int, list[Message]]] = []
        for origin, target, edits in self._changes.get(part, ()):
            if origin == base or steps:
                steps.append((origin, target, edits))
        if steps:
            return {"generation": generation, "changes": steps}
        return {"generation": generation, "body": body}

    def take_in(self, news: Message, peer: str) -> list[str]:
        """Take what a parent sent; names of the parts that moved."""
        with reading("news", peer):
            return [part for part, item in news.items() if self._take_item(part, item, peer)]

    def _take_item(self, part: str, item: Message, peer: str) -> bool:
        generation = field(item, "generation", int, peer)
        if "body" in item:
            return self.take(part, generation, field(item, "body", dict, peer))
        moved = False
        for origin, target, edits in field(item, "changes", list, peer):
            if origin != self.generation(part):
                continue
            body = apply_edits(self.body(part), edits).unwrap() if edits else self.body(part)
            moved = self.take(part, target, body) or moved
        if not moved:
            raise FleetError(ErrorKind.STALE, "news", peer, f"changes of {part} do not join what is held")
        return moved
