"""Homes: the order in which runners own an opening, by rendezvous hash.

Each node computes the same order from the runners' names alone, so nothing is agreed on. A runner that joins or
goes moves only the openings that it gains or leaves. While a plan shifts homes, an opening whose place in the
hash lies below the plan's share already lives among the runners after the move.
"""

import hashlib

__all__ = ["home_order", "shifted"]


def _weight(digest: str, runner: str) -> bytes:
    return hashlib.sha256(f"{digest} {runner}".encode()).digest()


def home_order(digest: str, runners: list[str]) -> list[str]:
    """All runners, the opening's home first.

    >>> order = home_order("o", ["r1", "r2", "r3"])
    >>> without = [each for each in order if each != order[0]]
    >>> home_order("o", without) == without
    True
    """
    return sorted(runners, key=lambda runner: _weight(digest, runner), reverse=True)


def shifted(digest: str, share: float) -> bool:
    """Whether a plan at this share has moved the opening.

    >>> shifted("o", 0.0), shifted("o", 1.0)
    (False, True)
    """
    place = int.from_bytes(_weight(digest, "plan")[:4], "big") / 2**32
    return place < share
