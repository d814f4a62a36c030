"""Ids of requests lately sent to a runner, so that one which was not meant to be repeated is not run again.

Bounded in number and age. An id that a runner refused as not started is taken back. What is remembered is this node's
own: the same id at another node is another request there (see ``docs/interface.md``).
"""

from collections import OrderedDict

from finchswitch.constants import SENT_KEEP_MS, SENT_MOST

__all__ = ["Sent"]


class Sent:
    def __init__(self) -> None:
        self._kept: OrderedDict[str, tuple[float, bool]] = OrderedDict()

    def note(self, request_id: str, repeatable: bool, now_ms: float) -> None:
        """The request is about to leave for a runner."""
        self._kept[request_id] = (now_ms, repeatable)
        self._kept.move_to_end(request_id)
        while len(self._kept) > SENT_MOST or now_ms - next(iter(self._kept.values()))[0] > SENT_KEEP_MS:
            self._kept.popitem(last=False)

    def take_back(self, request_id: str) -> None:
        """It surely did not run."""
        self._kept.pop(request_id, None)

    def bars(self, request_id: str, repeatable: bool, now_ms: float) -> bool:
        """Whether the id may not be run again: it was sent lately, and not both sendings may be repeated.

        >>> sent = Sent()
        >>> sent.note("a", False, 0.0)
        >>> sent.bars("a", True, 1.0), sent.bars("b", False, 1.0), sent.bars("a", False, 600_001.0)
        (True, False, False)
        """
        at_ms, before = self._kept.get(request_id, (-1e18, True))
        return now_ms - at_ms <= SENT_KEEP_MS and not (before and repeatable)
