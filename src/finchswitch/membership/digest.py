"""Digests: what many nodes tell of burdens and crowds, merged on its way, so that nobody hears each of the others.

A node's word goes up with its session's beat. A control node merges the words of its sessions, tells the sum to the
other control nodes, and answers each node with the sum of all but its own. So what a node hears grows with the number
of runners that are busy, not with the number of nodes.
"""

from collections.abc import Iterable
from typing import Any

from finchswitch.constants import HOT_MOST
from finchswitch.transport import Message

__all__ = ["freshest", "merged"]

_Word = Message


def merged(words: Iterable[_Word]) -> _Word:
    """The sum of many words: seats of each runner and what waits there as one, and the highest counts of each service.

    >>> one = {"burden": {"r": [2, [[100, 50]]]}, "counts": {"s": [1.0, {"a": 0.5}]}}
    >>> merged([one, {"burden": {"r": [1, [[300, 10], [20, 5]]]}, "counts": {"s": [2.0, {"a": 0.25, "b": 0.1}]}}])
    {'burden': {'r': [3, [[300, 65]]]}, 'counts': {'s': [3.0, {'a': 0.75, 'b': 0.1}]}}
    """
    burden: dict[str, list[Any]] = {}
    counts: dict[str, list[Any]] = {}
    for word in words:
        for incarnation, (seats, waiting) in word.get("burden", {}).items():
            sums = burden.setdefault(incarnation, [0, []])
            sums[0] += seats
            if waiting:
                held = sums[1][0] if sums[1] else [0, 0]
                oldest_ms = max(held[0], *(age_ms for age_ms, _ in waiting))
                sums[1] = [[oldest_ms, held[1] + sum(tokens for _, tokens in waiting)]]
        for service, (total, shares) in word.get("counts", {}).items():
            table = counts.setdefault(service, [0.0, {}])
            table[0] += total
            for digest, share in shares.items():
                table[1][digest] = table[1].get(digest, 0.0) + share
    for table in counts.values():
        highest = sorted(table[1].items(), key=lambda item: (-item[1], item[0]))[: 4 * HOT_MOST]
        table[1] = {digest: round(share, 5) for digest, share in highest}
    return {"burden": burden, "counts": counts}


def freshest(views: Iterable[list[Any] | None]) -> list[Any] | None:
    """Of views of the list, each a mark and an age, the one that was read last; what is none is passed over.

    >>> freshest([["a", 300.0], None, ["b", 20.0], ["", 5.0]])
    ['b', 20.0]
    """
    known = [view for view in views if view is not None and view[0]]
    return min(known, key=lambda view: float(view[1]), default=None)
