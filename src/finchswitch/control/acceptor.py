"""An acceptor: one store's vote in one part.

A promise or an accepted document is on the versions, synced, before the answer says yes. A sync that fails or is
slow is a no. An acceptor that does not stand in the part's group has no vote there.
"""

from typing import Any

from finchswitch.constants import STORAGE_SLOW_MS
from finchswitch.control.document import Ballot, Document, builds_on, grow, read_document
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.logs import prefix
from finchswitch.storage import VersionedFile
from finchswitch.transport import World

__all__ = ["Acceptor", "read_ballot"]

_log = prefix("accord")
_NONE: Ballot = (0, "")


def read_ballot(value: Any) -> Ballot:
    """A ballot as it comes off the wire or the versions.

    >>> read_ballot([3, "a"])
    (3, 'a')
    """
    if not isinstance(value, (list, tuple)) or len(value) != 2 or not isinstance(value[0], int):
        raise FleetError(ErrorKind.BROKEN, "ballot", "peer", f"{value!r} is no ballot")
    return value[0], str(value[1])


class Acceptor:
    def __init__(self, world: World, store: str, part: str, versions: VersionedFile) -> None:
        self._world, self._store, self._part, self._versions = world, store, part, versions
        self.promised: Ballot = _NONE
        self.ballot: Ballot = _NONE
        self.document: Document | None = None
        kept = versions.newest()
        if kept is not None:
            self.promised, self.ballot = read_ballot(kept["promised"]), read_ballot(kept["ballot"])
            self.document = kept["document"]

    def adopt(self, document: Document) -> None:
        """Take the founding document; only for a store that never held one."""
        self._keep(self.promised, self.ballot, document)

    def learn(self, ballot: Ballot, document: Document) -> None:
        """Keep a snapshot without a vote, before being swapped into the group."""
        if ballot >= self.promised and not self.votes():
            self._keep(max(ballot, self.promised), ballot, read_document(document))

    def votes(self) -> bool:
        return self.document is not None and self._store in [*self.document["group"], *self.document["former"]]

    def prepare(self, ballot: Ballot) -> dict[str, Any]:
        if not self.votes():
            raise FleetError(ErrorKind.REFUSED, "prepare", self._part, "this store has no vote here")
        if ballot > self.promised:
            self._keep(ballot, self.ballot, self.document)
        yes = ballot == self.promised
        return {"yes": yes, "promised": self.promised, "ballot": self.ballot, "document": self.document}

    def accept(self, ballot: Ballot, document: Document | None, delta: Document | None) -> dict[str, Any]:
        """Accept a whole document, or a delta on the one held under the same ballot."""
        if ballot < self.promised:
            return {"yes": False, "promised": self.promised, "lacks": False}
        if delta is not None:
            if self.document is None or self.ballot != ballot or not builds_on(delta, self.document):
                return {"yes": False, "promised": self.promised, "lacks": True}
            document = grow(self.document, delta)
        elif document is not None:
            document = read_document(document)
        if document is None or self._store not in [*document["group"], *document["former"]]:
            raise FleetError(ErrorKind.REFUSED, "accept", self._part, "this store has no vote here")
        held = self.document
        if held is not None and self.ballot == ballot and held["step"] > document["step"]:
            return {"yes": False, "promised": self.promised, "lacks": False}
        self._keep(ballot, ballot, document)
        return {"yes": True, "promised": self.promised, "lacks": False}

    def _keep(self, promised: Ballot, ballot: Ballot, document: Document | None) -> None:
        before = self._world.now_ms()
        self._versions.put({"promised": promised, "ballot": ballot, "document": document})
        took_ms = self._world.now_ms() - before
        self.promised, self.ballot, self.document = promised, ballot, document
        if took_ms > STORAGE_SLOW_MS:
            raise FleetError(ErrorKind.FULL, "sync", self._part, f"took {took_ms:.0f} ms, too slow for a yes")
