"""The figures that a control node tells: what it holds and owns, whom it sees, and whether its word is current."""

from collections import Counter

from finchswitch.control.control_node import ControlNode
from finchswitch.control.proposer import Proposer
from finchswitch.control.store import StoreState
from finchswitch.metrics import Figure

__all__ = ["control_figures"]

NOT_CURRENT_MS = -1.0


def control_figures(control: ControlNode) -> list[Figure]:
    """Everything that tells a control node without a majority from one whose news only do not arrive."""
    now_ms, proposers = control.world.now_ms(), control.proposers
    held = {part: float(generation) for part, generation in control.news.generations().items()}
    known = {part: control.current_age_ms(part, now_ms) for part in proposers}
    ages = {part: NOT_CURRENT_MS if age_ms is None else age_ms for part, age_ms in known.items()}
    owned = {part: float(proposer.owns()) for part, proposer in proposers.items()}
    groups = {part: _domains(control, proposer) for part, proposer in proposers.items() if proposer.owns()}
    in_sight = {control.startup.failure_domain, *(each.failure_domain for each in control.control_peers.alive(now_ms))}
    sessions = Counter(str(each["state"]) for each in control.sessions.all(now_ms))
    votes = float(control.store.state is StoreState.VOTING)
    peers = float(len(control.control_peers.alive(now_ms)))
    links = control.book.statistics
    return [
        Figure("finchswitch_generation", "Generation held of each part.", held, "part"),
        Figure("finchswitch_current_age_ms", "Since that was surely the newest; -1 if not known.", ages, "part"),
        Figure("finchswitch_owns", "1 for a part owned here.", owned, "part"),
        Figure("finchswitch_group_domains", "Zones or regions of the members of an owned part.", groups, "part"),
        Figure.single("finchswitch_domains", "Zones or regions of the control nodes in sight.", float(len(in_sight))),
        Figure.single("finchswitch_votes", "1 while this store votes.", votes),
        Figure.single("finchswitch_peers", "Control nodes in sight.", peers),
        Figure("finchswitch_sessions", "Routing nodes by state.", _floats(sessions), "state"),
        Figure.single("finchswitch_link_bytes", "Bytes read from other processes.", float(links.bytes_read)),
        Figure.single("finchswitch_links_given_up", "Links closed for silence.", float(links.given_up)),
        *control.lifecycle.figures(),
    ]


def _domains(control: ControlNode, proposer: Proposer) -> float:
    """Over how many failure domains the members of an owned part are spread."""
    group = proposer.document["group"] if proposer.document else []
    return float(len({control.failure_domain_of(store) for store in group}))


def _floats(counts: Counter[str]) -> dict[str, float]:
    return {name: float(count) for name, count in counts.items()}
