"""Sessions of routing nodes: those that stand with this control node, and those that others tell of.

A node is a member while its session stands with any control node. A session whose connection closed or whose
beats stopped without a leave is dark: the node may be gone or only cut off, so it still counts when an owner
asks whether a change is in effect everywhere, until a refused connection shows it gone.
"""

from collections.abc import Iterable
from enum import Enum
from typing import Any

from finchswitch.constants import CONTROL_GRACE_MS, SESSION_SILENT_MS, TOLD_KEEP_MS
from finchswitch.logs import prefix
from finchswitch.membership.digest import freshest, merged
from finchswitch.state_machines import StateMachine, load_transitions
from finchswitch.transport import Message

__all__ = ["SessionState", "Sessions", "dark_may_serve"]

_log = prefix("kinship")


class SessionState(Enum):
    STANDING = "standing"
    DARK = "dark"
    GONE = "gone"


class SessionEvent(Enum):
    BEAT = "beat"
    SILENCE = "silence"
    LEAVE = "leave"
    REFUSED = "refused"


_TRANSITIONS = load_transitions("session", SessionState, SessionEvent)


class _Session:
    def __init__(self, name: str) -> None:
        self.state_machine = StateMachine(_TRANSITIONS, name)
        self.beat: Message = {}
        self.line = ""
        self.seen_ms = 0.0
        self.sent_after_ms = 0.0  # the last beat was sent later than this: when the one before it came


def _is_view(view: Any) -> bool:
    return isinstance(view, list) and len(view) == 2 and isinstance(view[0], str) and isinstance(view[1], (int, float))


def dark_may_serve(dark: int, known: int) -> bool:
    """Whether that many dark nodes, of all known, could each still hear half of the others.

    >>> dark_may_serve(3, 6), dark_may_serve(4, 6), dark_may_serve(0, 1)
    (False, True, False)
    >>> dark_may_serve(1, 1)
    True
    """
    return dark > 0 and 2 * (dark - 1) >= known - 1


class Sessions:
    def __init__(self) -> None:
        self._own: dict[str, _Session] = {}
        self._told: dict[str, tuple[float, list[Message]]] = {}
        self._words: dict[str, Message] = {}  # what nodes with a session here last said of burdens and crowds
        self._digests: dict[str, tuple[float, Message]] = {}  # the same of other control nodes' nodes, merged
        self._views: dict[str, tuple[float, Any]] = {}  # by node or store: a view of the list, and since when it ages

    def beat(self, name: str, beat: Message, line: str, now_ms: float) -> bool:
        """A node's beat; says whether anything others should hear of has changed."""
        session = self._own.setdefault(name, _Session(name))
        joined = not session.line or session.state_machine.state is not SessionState.STANDING
        news = joined or beat.get("generations") != session.beat.get("generations")
        session.state_machine.take(SessionEvent.BEAT)
        session.sent_after_ms = now_ms if joined else session.seen_ms
        session.beat, session.line, session.seen_ms = beat, line, now_ms
        if joined:
            _log.info("Session of {} stands.", name)
        return news

    def hear_word(self, name: str, word: Message, now_ms: float) -> None:
        """A word's view ages from when it may have been sent, as a beat may lie in a buffer; a first one tells none."""
        self._words[name] = word
        sent_after_ms = self._own[name].sent_after_ms
        self._views[name] = (sent_after_ms, word.get("list") if sent_after_ms < now_ms else None)

    def digest(self, now_ms: float) -> Message:
        """What the nodes whose sessions stand here say, as one."""
        return {**merged(self._standing_words("")), "list": self._view(self._own, now_ms)}

    def _view(self, sources: Iterable[str], now_ms: float) -> list[Any] | None:
        """The freshest view of the list among these nodes or stores."""
        views = [self._views[each] for each in sources if each in self._views]
        return freshest([view[0], view[1] + now_ms - since_ms] for since_ms, view in views if _is_view(view))

    def _standing_words(self, but: str) -> list[Message]:
        standing = {name for name, own in self._own.items() if own.state_machine.state is SessionState.STANDING}
        return [word for name, word in sorted(self._words.items()) if name in standing and name != but]

    def others(self, name: str, now_ms: float) -> Message:
        """What all nodes but this one say, as one."""
        fresh = [digest for at_ms, digest in self._digests.values() if now_ms - at_ms <= SESSION_SILENT_MS]
        return {**merged([*self._standing_words(name), *fresh]), "list": self._view(self._views, now_ms)}

    def told_digest(self, store: str, digest: Message, now_ms: float, asked_ms: float | None) -> None:
        """Another control node's digest; its view of the list counts only in an answer, from when that was asked."""
        self._digests[store] = (now_ms, digest)
        if asked_ms is not None:
            self._views[store] = (asked_ms, digest.get("list"))

    def leave(self, name: str) -> None:
        session = self._own.get(name)
        if session is not None and session.state_machine.can(SessionEvent.LEAVE):
            session.state_machine.take(SessionEvent.LEAVE)
            _log.info("{} has left.", name)

    def line_closed(self, line: str) -> None:
        for name, session in self._own.items():
            if session.line == line and session.state_machine.state is SessionState.STANDING:
                session.state_machine.take(SessionEvent.SILENCE)
                _log.info("Connection of {} closed.", name)

    def age(self, now_ms: float) -> None:
        for name, session in self._own.items():
            silent_ms = now_ms - session.seen_ms
            if session.state_machine.state is SessionState.STANDING and silent_ms > SESSION_SILENT_MS:
                session.state_machine.take(SessionEvent.SILENCE)
                _log.info("{} is silent.", name)

    def refused(self, name: str) -> None:
        session = self._own.get(name)
        if session is not None and session.state_machine.can(SessionEvent.REFUSED):
            session.state_machine.take(SessionEvent.REFUSED)
            _log.info("{} is gone; its door refuses.", name)

    def forget(self, name: str) -> bool:
        """An operator's word that a dark node is gone for good."""
        session = self._own.get(name)
        if session is None or session.state_machine.state is not SessionState.DARK:
            return False
        session.state_machine.take(SessionEvent.REFUSED)
        _log.info("{} is gone, as the operator says.", name)
        return True

    def own(self, now_ms: float) -> list[Message]:
        """This node's sessions, in the form in which control nodes tell them."""
        return [
            {
                **session.beat,
                "name": name,
                "ageMs": now_ms - session.seen_ms,
                "state": session.state_machine.state.value,
            }
            for name, session in sorted(self._own.items())
        ]

    def told(self, store: str, sessions: list[Message], now_ms: float) -> None:
        self._told[store] = (now_ms, sessions)
        for each in sessions:
            own = self._own.get(each["name"])
            if (
                own is not None
                and own.state_machine.state is SessionState.DARK
                and each["ageMs"] < now_ms - own.seen_ms
            ):
                del self._own[each["name"]]  # its session stands elsewhere now

    def all(self, now_ms: float) -> list[Message]:
        """Every node known, each by its freshest record; only own and told within the keep time."""
        merged: dict[str, Message] = {}
        for record in self._records(now_ms):
            held = merged.get(record["name"])
            if held is None or record["ageMs"] < held["ageMs"]:
                merged[record["name"]] = record
        return [merged[name] for name in sorted(merged)]

    def _records(self, now_ms: float) -> Iterable[Message]:
        yield from self.own(now_ms)
        for told_ms, sessions in self._told.values():
            since_ms = now_ms - told_ms
            for told in sessions:
                record: dict[str, Any] = {**told, "ageMs": told["ageMs"] + since_ms}
                if since_ms > TOLD_KEEP_MS and record["state"] == SessionState.STANDING.value:
                    record["state"] = SessionState.DARK.value
                yield record

    def members(self, now_ms: float) -> list[Message]:
        """The members: nodes whose session stands, in the order that the relay tree is computed from."""
        standing = [each for each in self.all(now_ms) if each["state"] == SessionState.STANDING.value]
        return [{key: each[key] for key in ("name", "address", "http", "district")} for each in standing]

    def lacking(self, part: str, generation: int, now_ms: float) -> tuple[list[str], int]:
        """Names of nodes that may serve below a generation, and how many nodes are known in all."""
        known = [each for each in self.all(now_ms) if each["state"] != SessionState.GONE.value]
        behind = [each for each in known if each["generations"].get(part, -1) < generation]
        dark = [each for each in behind if each["ageMs"] > CONTROL_GRACE_MS]
        if len(dark) == len(behind) and not dark_may_serve(len(dark), len(known)):
            return [], len(known)
        return [each["name"] for each in behind], len(known)
