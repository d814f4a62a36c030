"""Placement: which spares take places in a part's group, and which members give theirs up so that it is spread.

A failure domain is what may be lost as a whole: a zone, or a region where the deployment has to survive that. A group
is spread when no domain has two members more than a domain with a spare. The loss of any one domain then takes as few
members as the live control nodes allow.
"""

from collections import Counter
from collections.abc import Mapping

from finchswitch.membership.control_peers import ControlPeer

__all__ = ["choose_crowded", "choose_spare"]


def choose_spare(part: str, lost_domain: str, domains: list[str], spares: list[ControlPeer]) -> ControlPeer:
    """The spare that keeps the group spread over most failure domains, then one of the lost member's domain, then the
    one that holds the newest of the part. ``domains`` are those of the members that remain."""
    return min(
        spares,
        key=lambda spare: (
            domains.count(spare.failure_domain),
            spare.failure_domain != lost_domain,
            -spare.generations.get(part, -1),
            spare.store,
        ),
    )


def choose_crowded(domains: Mapping[str, str], spare_domains: list[str], staying: str) -> list[str]:
    """The members that should give their places to spares of emptier failure domains; none where the group is spread.

    ``domains`` names the failure domain of each member. ``staying`` is a member that keeps its place: the owner.

    >>> choose_crowded({"s1": "a", "s2": "a", "s3": "b"}, ["b", "c"], staying="s1")
    ['s2']
    >>> choose_crowded({"s1": "a", "s2": "b", "s3": "c"}, ["a", "b"], staying="s1")
    []
    """
    members, free = Counter(domains.values()), Counter(spare_domains)
    crowded: list[str] = []
    while free.total():
        emptiest = min(sorted(+free), key=lambda domain: members[domain])
        movable = [
            store
            for store, domain in sorted(domains.items())
            if store not in (staying, *crowded) and members[domain] >= members[emptiest] + 2
        ]
        if not movable:
            break
        moved = max(movable, key=lambda store: members[domains[store]])
        crowded.append(moved)
        members[domains[moved]] -= 1
        members[emptiest] += 1
        free[emptiest] -= 1
    return crowded
