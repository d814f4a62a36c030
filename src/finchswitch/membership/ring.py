"""The peers that a node of a large fleet beats: its neighbours at growing distances on the ring of all names."""

from finchswitch.transport import Message

__all__ = ["ring_neighbours"]


def ring_neighbours(name: str, members: list[Message], most: int) -> list[str]:
    """Addresses of the next member in the order of names, the second, the fourth, and so on.

    >>> rows = [{"name": f"n{at}", "address": f"a{at}"} for at in range(6)]
    >>> ring_neighbours("n4", rows, 3)
    ['a0', 'a2', 'a5']
    """
    ring = sorted(members, key=lambda each: str(each["name"]))
    here = next((at for at, each in enumerate(ring) if each["name"] == name), 0)
    return sorted({str(ring[(here + 2**at) % len(ring)]["address"]) for at in range(most)})
