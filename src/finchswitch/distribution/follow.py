"""Following the news: a routing node asks its parent for what is newer, and goes elsewhere when it must.

The parent holds an ask for a moment when there is nothing new, which also shows that it lives. A silent parent
is passed over for a while. When a beat showed newer news than the parent brought, a control node is asked.
"""

from finchswitch.constants import BEHIND_MS, ELSEWHERE_MS, FOLLOW_HOLD_MS, PARENT_SILENT_MS
from finchswitch.distribution.news import NewsBook
from finchswitch.distribution.tree import parent_of
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.logs import prefix
from finchswitch.membership.member import Member
from finchswitch.transport import Book, World, field

__all__ = ["Follower"]

_log = prefix("relay")


class Follower:
    def __init__(self, world: World, book: Book, news: NewsBook, member: Member) -> None:
        self._world, self._book, self._news, self._member = world, book, news, member
        self._passed: dict[str, float] = {}
        self._behind_ms: float | None = None
        self.source = ""

    async def follow(self) -> None:
        while True:
            self.source = self._draw_source()
            if not self.source:
                await self._world.sleep(FOLLOW_HOLD_MS)
                continue
            body = {"have": self._news.generations(), "holdMs": FOLLOW_HOLD_MS}
            try:
                answer = await self._book.ask(self.source, "news.follow", body, PARENT_SILENT_MS)
                news = field(answer, "news", dict, self.source)
                moved = self._news.take_in(news, self.source)
                if news and not moved:
                    raise FleetError(ErrorKind.BROKEN, "news", self.source, "all that it told is old")
                for part in moved:
                    _log.info("{} is at generation {}.", part, self._news.generation(part))
                    self._member.tempo.kick()
            except FleetError as error:
                if error.kind is ErrorKind.STALE:
                    await self._snapshot()
                    continue
                _log.info("Going elsewhere for news. {}", error)
                self._passed[self.source] = self._world.now_ms() + ELSEWHERE_MS
                await self._world.sleep(BEHIND_MS / 10)

    async def _snapshot(self) -> None:
        try:
            body = {"have": {}, "holdMs": 0}
            answer = await self._book.ask(self.source, "news.follow", body, PARENT_SILENT_MS)
            self._news.take_in(field(answer, "news", dict, self.source), self.source)
        except FleetError as error:
            _log.info("No snapshot. {}", error)
            self._passed[self.source] = self._world.now_ms() + ELSEWHERE_MS

    def _draw_source(self) -> str:
        now_ms = self._world.now_ms()
        have, wants = self._news.generations(), self._member.wants()
        behind = any(generation > have.get(part, -1) for part, generation in wants.items())
        self._behind_ms = (self._behind_ms or now_ms) if behind else None
        late = self._behind_ms is not None and now_ms - self._behind_ms > BEHIND_MS
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
