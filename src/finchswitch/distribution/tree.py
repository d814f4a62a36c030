"""The tree that news goes down, computed by each node from the member list alone.

One head for each district hangs, by fanout, under the control node and the other heads; the rest of a district
hangs under its head. Every node that holds the same list computes the same tree, so nothing is agreed on.
"""

from finchswitch.constants import FANOUT
from finchswitch.transport import Message

__all__ = ["parent_of"]


def parent_of(name: str, members: list[Message]) -> str:
    """The name of a node's parent; empty when it hangs under a control node.

    >>> rows = [{"name": f"n{i}", "district": "ab"[i % 2]} for i in range(6)]
    >>> [parent_of(f"n{i}", rows) for i in range(6)]
    ['', '', 'n0', 'n1', 'n0', 'n1']
    """
    districts: dict[str, list[str]] = {}
    for member in sorted(members, key=lambda each: (each["district"], each["name"])):
        districts.setdefault(member["district"], []).append(member["name"])
    heads = [names[0] for _, names in sorted(districts.items())]
    if name in heads:
        at = heads.index(name)
        return "" if at < FANOUT else heads[at // FANOUT - 1]
    for names in districts.values():
        if name in names:
            return names[(names.index(name) - 1) // FANOUT]
    return ""
