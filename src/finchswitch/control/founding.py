"""Founding a fleet, or joining one, for a store that belongs to none.

Founders agree by sight: each sees just the founding group, and each of the others says the same.
"""

from typing import TYPE_CHECKING

from finchswitch.errors import FleetError
from finchswitch.logs import prefix
from finchswitch.membership.control_peers import ControlPeer

if TYPE_CHECKING:
    from finchswitch.control.control_node import ControlNode

__all__ = ["found_or_join"]

_log = prefix("accord")


def found_or_join(control: "ControlNode", now_ms: float) -> None:
    """Found a fleet with the control nodes in sight, or join the one that they belong to."""
    store, alive = control.store, control.control_peers.alive(now_ms)
    try:
        for control_peer in alive:
            if control_peer.fleet and store.store in control_peer.founders:
                return store.found(control_peer.founders)
            if control_peer.fleet:
                return store.join(control_peer.fleet, control_peer.founders)
        together = sorted({store.store, *(control_peer.store for control_peer in alive)})
        if not control.bounds.founds:
            return
        if len(together) == control.group_size and all(sorted(control_peer.sees) == together for control_peer in alive):
            store.found(together)
        elif len(together) > control.group_size and control.startup.address == control.startup.seeds[0]:
            store.found(_spread(control, alive))  # too many to agree by sight alone: the first seed decides
    except FleetError as error:
        _log.error("Cannot found or join. {}", error)


def _spread(control: "ControlNode", alive: list[ControlPeer]) -> list[str]:
    """The founding group: this store, then one of each district in turn, seeds first."""
    seeds, chosen, used = control.startup.seeds, [control.store.store], {control.startup.district: 1}
    rest = sorted(alive, key=lambda control_peer: (control_peer.address not in seeds, control_peer.address))
    while len(chosen) < control.group_size:
        following = min(rest, key=lambda control_peer: used.get(control_peer.district, 0))
        rest.remove(following)
        chosen.append(following.store)
        used[following.district] = used.get(following.district, 0) + 1
    return chosen
