"""Bounds of one deployment: what it may lose, what its users were promised, and the tempos that follow from both.

The defaults are the brief's. A startup file may give others; an adapter to a platform reads them from there. Nothing
that a deployment may set differently is taken from ``constants`` past this file.
"""

from dataclasses import dataclass

from finchswitch.constants import (
    CHANGE_WAIT_MS,
    DELIVERY_WAIT_MS,
    FOLLOW_HOLD_MS,
    LIST_POLL_MS,
    LIST_UNKNOWN_MS,
    OWNER_WAIT_MS,
    PEER_BEAT_MS,
    REPLACE_AFTER_MS,
    STOP_SETTLE_MS,
    TRIES_WINDOW_MS,
    VITALS_POLL_MS,
)

__all__ = ["Bounds"]


@dataclass(frozen=True)
class Bounds:
    """What a process is told of its deployment. Times are milliseconds, shares fractions of one."""

    tolerance: int = 1  # machines with a disk that may be lost at once; a part has 2f+1 acceptors
    survives_regions: bool = False  # whole regions may be lost, so groups are spread over regions, not zones
    replace_after_ms: float = REPLACE_AFTER_MS  # a silent acceptor may then give its place to an empty store
    delivery_wait_ms: float = DELIVERY_WAIT_MS  # a change waits so long for every node's word before its answer
    owner_wait_ms: float = OWNER_WAIT_MS  # a change waits so long for an owner to be elected
    change_wait_ms: float = CHANGE_WAIT_MS  # a change passed on waits so long for its owner's answer
    founds: bool = True  # an empty store may found a fleet; false where one must exist already
    serves_alone: bool = False  # a node that was confirmed once serves on while it is cut off from the others
    list_poll_ms: float = LIST_POLL_MS  # between two readings of the platform's list by whoever reads it
    list_unknown_ms: float = LIST_UNKNOWN_MS  # a view of the list older than this is none, unless the node serves alone
    list_shared: bool = False  # one node reads the list for all, the others hear of it
    vitals_poll_ms: float = VITALS_POLL_MS  # between two readings of a runner's vitals; 0 for none
    peers_most: int | None = None  # peers that a node beats; None for all, which grows with the square of the fleet
    # Between two beats to a peer while control tells what all nodes carry. A changed list does not wait for it: it is
    # pushed to the peers, and its age comes with each answer of control.
    digest_beat_ms: float = PEER_BEAT_MS
    # A parent with nothing new answers a follower after this. A change does not wait for it: what control or a peer
    # tells ends the ask when the parent is late.
    follow_hold_ms: float = FOLLOW_HOLD_MS
    tries_window_ms: float = TRIES_WINDOW_MS  # extra tries are counted over this window
    tries_fleet_floor: float | None = None  # extra tries that the whole fleet may make beside the share of traffic
    tries_share: float | None = None  # the share; the configuration's where none is given here
    stop_settle_ms: float = STOP_SETTLE_MS  # from unready until the door closes
    grace_ms: float | None = None  # a stop takes no longer than this; None waits for the longest answer
    aim_share: float = 1.0  # of the aim: a runner whose estimated first token is later gives way
    late_share: float = 1.0  # of the aim: a first token estimated later than this at every runner is refused

    def tries_floor(self, nodes: int, own_floor: float) -> float:
        """Extra tries that one of so many nodes may make beside its share of its own traffic.

        >>> Bounds().tries_floor(8, 3.0), Bounds(tries_fleet_floor=36.0).tries_floor(8, 3.0)
        (3.0, 4.5)
        """
        if self.tries_fleet_floor is None:
            return own_floor
        return self.tries_fleet_floor / max(1, nodes)
