"""Founding a fleet, or joining one, for a store that belongs to none.

One control node proposes a founding group: the first of the seeds that began with the whole system. Its members and
the seeds agree, each on disk, and to no other group. A member founds once it sees that all members agree, and a
majority of the seeds; seeds that may have lost their disk are no part of a majority, but all seeds together suffice.
So two fleets can not be founded, and what an interruption leaves is taken up again.

A group is given up when a member has lost its disk, which its successor under the same name shows, and all others see
that successor and hold no fleet: so few stores can have acknowledged nothing, and the group is never complete again.
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
    """Take the next step on the way to a fleet, with the control nodes in sight."""
    alive = {peer.store: peer for peer in control.control_peers.alive(now_ms)}
    try:
        _take_step(control, alive)
    except FleetError as error:
        _log.error("Cannot found or join. {}", error)


def _take_step(control: "ControlNode", alive: dict[str, ControlPeer]) -> None:
    store = control.store
    for peer in alive.values():
        if peer.fleet:
            return store.found(peer.founders) if store.store in peer.founders else store.join(peer.fleet, peer.founders)
    if store.proposal:
        if _is_agreed(control, alive):
            return store.found(store.proposal)
        return store.withdraw() if _is_broken(control, alive) else None
    proposal = _seen_proposal(control, alive) or _own_proposal(control, alive)
    return store.agree(proposal) if proposal else None


def _is_agreed(control: "ControlNode", alive: dict[str, ControlPeer]) -> bool:
    """Whether all members of the proposed group agree to it and enough seeds do, and this store is a member."""
    store = control.store
    agreeing = [peer for peer in alive.values() if peer.proposal == store.proposal]
    if store.store not in store.proposal or not set(store.proposal) <= {
        store.store,
        *(peer.store for peer in agreeing),
    }:
        return False
    seeds, own = set(_control_seeds(control)), control.startup.address
    witnesses = seeds & {own, *(peer.address for peer in agreeing)}
    sure = witnesses & {*([own] if store.may_found else []), *(peer.address for peer in agreeing if peer.may_found)}
    return witnesses == seeds or 2 * len(sure) > len(seeds)


def _is_broken(control: "ControlNode", alive: dict[str, ControlPeer]) -> bool:
    """Whether the proposed group can never be complete: a member lost its disk, and all that are left know it."""
    names = {peer.name: peer.store for peer in alive.values()}
    left = [store for store in control.store.proposal if store in alive or store == control.store.store]
    lost = [store for store in control.store.proposal if store not in left]
    successors = {names.get(store.rpartition("-")[0], "") for store in lost}
    if not lost or "" in successors or len(lost) > control.bounds.tolerance:
        return False
    return all(successors <= set(alive[store].sees) for store in left if store != control.store.store)


def _seen_proposal(control: "ControlNode", alive: dict[str, ControlPeer]) -> list[str]:
    """A group that another node agrees to, if this store is asked to and all the members are in sight."""
    asked = control.startup.address in control.startup.seeds
    for peer in alive.values():
        members = set(peer.proposal)
        if members and members <= {*alive, control.store.store} and (asked or control.store.store in members):
            return peer.proposal
    return []


def _own_proposal(control: "ControlNode", alive: dict[str, ControlPeer]) -> list[str]:
    """The group that this node proposes, if it is the one to propose."""
    if not control.store.may_found or not _is_proposer(control, alive):
        return []
    together = sorted({control.store.store, *alive})
    if len(together) == control.group_size and all(sorted(peer.sees) == together for peer in alive.values()):
        return together
    return _spread(control, list(alive.values())) if len(together) > control.group_size else []


def _control_seeds(control: "ControlNode") -> list[str]:
    """Addresses of the seeds that are control nodes, or may be."""
    return [address for address in control.startup.seeds if address not in control.control_peers.routing]


def _is_proposer(control: "ControlNode", alive: dict[str, ControlPeer]) -> bool:
    """Whether each seed before this one is in sight and can not propose; without such seeds, the lowest address does.

    Where all the seeds are routing nodes, they made all control nodes known to each other: all must be in sight.
    """
    by_address = {peer.address: peer for peer in alive.values()}
    seeds, own = _control_seeds(control), control.startup.address
    if not seeds:
        known = control.control_peers.addresses - control.control_peers.routing
        return known <= by_address.keys() and own < min((a for a, p in by_address.items() if p.may_found), default="~")
    for address in seeds:
        if address == own:
            return True
        if address not in by_address or by_address[address].may_found:
            return False
    return False


def _spread(control: "ControlNode", alive: list[ControlPeer]) -> list[str]:
    """The founding group: this store, then one of each failure domain in turn, seeds first."""
    seeds, chosen, used = control.startup.seeds, [control.store.store], {control.startup.failure_domain: 1}
    rest = sorted(alive, key=lambda control_peer: (control_peer.address not in seeds, control_peer.address))
    while len(chosen) < control.group_size:
        following = min(rest, key=lambda control_peer: used.get(control_peer.failure_domain, 0))
        rest.remove(following)
        chosen.append(following.store)
        used[following.failure_domain] = used.get(following.failure_domain, 0) + 1
    return chosen
