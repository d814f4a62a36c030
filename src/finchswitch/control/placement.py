"""Placement: which spares take places in a part's group, and which members give theirs up so that it is spread.

A group is spread when no zone has two members more than a zone with a spare. The loss of any one zone then takes as few
members as the live control nodes allow.
"""

from collections import Counter
from collections.abc import Mapping

from finchswitch.membership.control_peers import ControlPeer

__all__ = ["choose_crowded", "choose_spare"]


def choose_spare(part: str, lost_district: str, districts: list[str], spares: list[ControlPeer]) -> ControlPeer:
    """The spare that keeps the group spread over most districts, then one of the lost member's district, then the
    one that holds the newest of the part. ``districts`` are those of the members that remain."""
    return min(
        spares,
        key=lambda spare: (
            districts.count(spare.district),
            spare.district != lost_district,
            -spare.generations.get(part, -1),
            spare.store,
        ),
    )


def choose_crowded(districts: Mapping[str, str], spare_districts: list[str], staying: str) -> list[str]:
    """The members that should give their places to spares of emptier districts; none where the group is spread.

    ``districts`` names the district of each member. ``staying`` is a member that keeps its place: the owner.

    >>> choose_crowded({"s1": "a", "s2": "a", "s3": "b"}, ["b", "c"], staying="s1")
    ['s2']
    >>> choose_crowded({"s1": "a", "s2": "b", "s3": "c"}, ["a", "b"], staying="s1")
    []
    """
    members, free = Counter(districts.values()), Counter(spare_districts)
    crowded: list[str] = []
    while free.total():
        emptiest = min(sorted(+free), key=lambda district: members[district])
        movable = [
            store
            for store, district in sorted(districts.items())
            if store not in (staying, *crowded) and members[district] >= members[emptiest] + 2
        ]
        if not movable:
            break
        moved = max(movable, key=lambda store: members[districts[store]])
        crowded.append(moved)
        members[districts[moved]] -= 1
        members[emptiest] += 1
        free[emptiest] -= 1
    return crowded
