"""What a routing node adds to its beats to peers and to control, and what it takes from theirs."""

from typing import TYPE_CHECKING

from finchswitch.transport import Message

if TYPE_CHECKING:
    from finchswitch.router.node import Node

__all__ = ["NodeWord"]


class NodeWord:
    """A node's word, in the sense of ``membership.word``."""

    def __init__(self, node: "Node") -> None:
        self._node, self.group = node, node.group

    def speak(self) -> Message:
        """What this node adds to its beats to peers."""
        now_ms = self._node.world.now_ms()
        return {
            "burden": self._node.burdens.spoken(now_ms),
            "ranks": self._node.burdens.spoken_ranks(),
            "held": self._node.beliefs.spoken(now_ms),
            "pace": self._node.burdens.paces.spoken(now_ms),
            "leaving": self._node.roster.leaving(),
            "listAgeMs": self._node.roster.list_age_ms(),
            "listMark": self._node.roster.mark,
            "counts": self._node.crowds.called(),
            "vitals": self._node.duties.words(),
        }

    def digest(self) -> Message:
        """What this node tells of burdens and crowds where the fleet is too large to tell everybody."""
        burden = self._node.burdens.spoken(self._node.world.now_ms())
        ranks, counts = self._node.burdens.spoken_ranks(), self._node.crowds.called()
        return {"burden": burden, "ranks": ranks, "counts": counts, "list": self._node.roster.view()}

    def hear_control(self, since_ms: float) -> None:
        """What control answered to a beat of that moment: the sum of what the others tell, and what is newest."""
        others = self._node.member.others
        if others is not None:
            self._node.roster.hear_view(others.get("list"), since_ms)
            self._node.burdens.hear_peers([{**others, "pace": {}}], self._node.world.now_ms())
        self._node.follower.look()

    def hear(self, beat: Message, since_ms: float) -> None:
        """What a peer's answer to a beat of that moment added."""
        self._node.roster.hear_peer(beat, since_ms)
        self._node.duties.hear(beat["vitals"])
        heard = self._node.member.heard_peers()
        self._node.beliefs.hear_peers(heard)
        if not self._node.member.hears_digests():
            self._node.burdens.hear_peers(heard, self._node.world.now_ms())
        self._node.follower.look()
