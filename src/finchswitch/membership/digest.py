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
    """The sum of many words: seats of each runner, what waits there by rank, and the highest counts of each service.

    ``ranks`` names the rank of each sum of what waits at a runner, where any is above 0.

    >>> one = {"burden": {"r": [2, [[100, 50]]]}, "counts": {"s": [1.0, {"a": 0.5}]}}
    >>> merged([one, {"burden": {"r": [1, [[300, 10], [20, 5]]]}, "counts": {"s": [2.0, {"a": 0.25, "b": 0.1}]}}])
    {'burden': {'r': [3, [[300, 65]]]}, 'counts': {'s': [3.0, {'a': 0.75, 'b': 0.1}]}}
    """
    seats: dict[str, float] = {}
    waits: dict[str, dict[int, list[float]]] = {}
    counts: dict[str, list[Any]] = {}
    for word in words:
        for incarnation, (taken, waiting) in word.get("burden", {}).items():
            seats[incarnation] = seats.get(incarnation, 0) + taken
            ranks = word.get("ranks", {}).get(incarnation, [])
            _add_waiting(waits.setdefault(incarnation, {}), waiting, ranks)
        for service, (total, shares) in word.get("counts", {}).items():
            table = counts.setdefault(service, [0.0, {}])
            table[0] += total
            for digest, share in shares.items():
                table[1][digest] = table[1].get(digest, 0.0) + share
    for table in counts.values():
        highest = sorted(table[1].items(), key=lambda item: (-item[1], item[0]))[: 4 * HOT_MOST]
        table[1] = {digest: round(share, 5) for digest, share in highest}
    burden = {}
    for incarnation, taken in seats.items():
        by_rank = waits[incarnation]
        burden[incarnation] = [taken, [by_rank[rank] for rank in sorted(by_rank)]]
    ranked = {incarnation: sorted(by_rank) for incarnation, by_rank in waits.items() if any(by_rank)}
    return {"burden": burden, "counts": counts, **({"ranks": ranked} if ranked else {})}


def _add_waiting(by_rank: dict[int, list[float]], waiting: list[Any], ranks: list[int]) -> None:
    """Add what waits to the sums by rank: the oldest age, and the tokens of all."""
    for (age_ms, tokens), rank in zip(waiting, [*ranks, *[0] * len(waiting)], strict=False):
        held = by_rank.get(rank, [0, 0])
        by_rank[rank] = [max(held[0], age_ms), held[1] + tokens]


def freshest(views: Iterable[list[Any] | None]) -> list[Any] | None:
    """Of views of the list, each a mark and an age, the one that was read last; what is none is passed over.

    >>> freshest([["a", 300.0], None, ["b", 20.0], ["", 5.0]])
    ['b', 20.0]
    """
    known = [view for view in views if view is not None and view[0]]
    return min(known, key=lambda view: float(view[1]), default=None)
