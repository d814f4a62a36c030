"""Following the news: a routing node asks its parent for what is newer, and goes elsewhere when it must.

The parent holds an ask for a moment when there is nothing new, which also shows that it lives. A silent parent
is passed over for a while. When a beat showed newer news than the parent brought, a control node is asked; an ask that
the parent still holds by then is given up, so how long it may hold asks does not delay a change. News that have begun
to come are heard out, however long they take on a thin link: asked for anew they would start over.
"""

import anyio

from finchswitch.constants import (
    BEHIND_LONG_MS,
    BEHIND_MS,
    ELSEWHERE_MS,
    FOLLOW_HOLD_MS,
    NEWS_STALL_MS,
    PARENT_SILENT_MS,
)
from finchswitch.distribution.news import NewsBook
from finchswitch.distribution.tree import parent_of
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.logs import prefix
from finchswitch.membership.member import Member
from finchswitch.transport import Book, Lane, Message, World, field

__all__ = ["Follower"]

_log = prefix("relay")


class Follower:
    def __init__(
        self, world: World, book: Book, news: NewsBook, member: Member, hold_ms: float = FOLLOW_HOLD_MS
    ) -> None:
        self._world, self._book, self._news, self._member = world, book, news, member
        self._passed: dict[str, float] = {}
        self._behind_ms: float | None = None
        self.source = ""
        self._hold_ms = hold_ms
        self.ends = dict.fromkeys(("moved", "nothing", "stale", "failed"), 0)  # asks for news by their end
        self._warned_ms = 0.0
        self._held: anyio.CancelScope | None = None  # an ask to the parent in the tree that is under way

    def look(self) -> None:
        """Called when others told their generations: a parent that does not bring what is newer is left."""
        if self._held is not None and self._late() and not self._book.receives(self.source, Lane.BULK):
            self._held.cancel()

    async def follow(self) -> None:
        while True:
            self.source = self._draw_source()
            if not self.source:
                await self._world.sleep(FOLLOW_HOLD_MS)
                continue
            try:
                answer = await self._ask()
                news = field(answer, "news", dict, self.source)
                moved = self._news.take_in(news, self.source)
                if news and not moved:
                    raise FleetError(ErrorKind.BROKEN, "news", self.source, "all that it told is old")
                self.ends["moved" if moved else "nothing"] += 1
                for part in moved:
                    _log.info("{} is at generation {}.", part, self._news.generation(part))
                    self._member.tempo.kick()
            except FleetError as error:
                self.ends["stale" if error.kind is ErrorKind.STALE else "failed"] += 1
                self._warn_behind(error)
                if error.kind is ErrorKind.STALE:
                    await self._snapshot()
                    continue
                _log.info("Going elsewhere for news. {}", error)
                self._passed[self.source] = self._world.now_ms() + ELSEWHERE_MS
                await self._world.sleep(BEHIND_MS / 10)

    async def _ask(self) -> Message:
        """One ask; a FleetError SILENT also when it was given up because others hold newer news."""
        body = {"have": self._news.generations(), "holdMs": int(self._hold_ms)}
        with anyio.CancelScope() as scope:
            self._held = None if self._late() else scope
            try:
                return await self._ask_news(body)
            finally:
                self._held = None
        raise FleetError(ErrorKind.SILENT, "news", self.source, "others hold newer news")

    async def _ask_news(self, body: Message) -> Message:
        wait_ms = self._hold_ms + PARENT_SILENT_MS
        return await self._book.ask(self.source, "news.follow", body, wait_ms, Lane.BULK, NEWS_STALL_MS)

    async def _snapshot(self) -> None:
        try:
            body = {"have": {}, "holdMs": 0}
            answer = await self._ask_news(body)
            self._news.take_in(field(answer, "news", dict, self.source), self.source)
        except FleetError as error:
            _log.info("No snapshot. {}", error)
            self._passed[self.source] = self._world.now_ms() + ELSEWHERE_MS

    def behind_ms(self) -> float:
        """For how long others have shown newer news than are held here; 0 where they have not."""
        self._late()
        return 0.0 if self._behind_ms is None else self._world.now_ms() - self._behind_ms

    def _warn_behind(self, error: FleetError) -> None:
        """Say that news stay out, each time that this has lasted twice as long as when it was said before."""
        behind_ms = self.behind_ms()
        if behind_ms == 0.0:
            self._warned_ms = 0.0
        elif behind_ms >= max(BEHIND_LONG_MS, 2 * self._warned_ms):
            self._warned_ms = behind_ms
            have, wants = self._news.generations(), self._member.wants()
            _log.warning("Behind for {:.0f} ms, at {} of {}. {}", behind_ms, have, wants, error)

    def _late(self) -> bool:
        """Whether others have shown newer news for longer than the parent may take to bring it."""
        now_ms, have, wants = self._world.now_ms(), self._news.generations(), self._member.wants()
        behind = any(generation > have.get(part, -1) for part, generation in wants.items())
        self._behind_ms = (self._behind_ms or now_ms) if behind else None
        return self._behind_ms is not None and now_ms - self._behind_ms > BEHIND_MS

    def _draw_source(self) -> str:
        now_ms, have, late = self._world.now_ms(), self._news.generations(), self._late()
        parent = parent_of(self._member.card["name"], self._member.members)
        addresses = {each["name"]: each["address"] for each in self._member.members}
        choices = [addresses[parent]] if parent in addresses and not late else []
        choices.extend([self._member.controls.chosen] if self._member.controls.chosen else [])
        if late:
            choices.extend(
                beat["address"]
                for beat in self._member.heard_peers()
                if any(generation > have.get(part, -1) for part, generation in beat["generations"].items())
            )
        open_now = [each for each in choices if self._passed.get(each, 0.0) <= now_ms]
        return str((open_now or choices or [""])[0])
