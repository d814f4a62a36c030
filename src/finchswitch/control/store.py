"""A control node's store: its identity, its fleet, and one acceptor a part, all in one data folder.

Anything torn or unreadable in it means that the store no longer knows what it promised. Then all of it is put
aside and a new, empty store takes its place, under a new identity, and has no vote until it is swapped in. What a
newer version wrote is not torn: the process ends and leaves it as it is.
"""

from enum import Enum

from finchswitch.control.acceptor import Acceptor
from finchswitch.control.document import digest_of, founding_document, part_names, read_document
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.logs import prefix
from finchswitch.state_machines import StateMachine, load_transitions
from finchswitch.storage import Disk, VersionedFile
from finchswitch.transport import World, field, reading

__all__ = ["Store", "StoreState", "fleet_of"]

_log = prefix("accord")


class StoreState(Enum):
    EMPTY = "empty"
    SPARE = "spare"
    VOTING = "voting"


class StoreEvent(Enum):
    FOUNDED = "founded"
    LEARNED = "learned"
    SWAPPED_IN = "swapped-in"
    SWAPPED_OUT = "swapped-out"


_TRANSITIONS = load_transitions("store", StoreState, StoreEvent)


def fleet_of(founders: list[str]) -> str:
    """The fleet's id, the same for all who found it together.

    >>> fleet_of(["b", "a"]) == fleet_of(["a", "b"])
    True
    """
    return digest_of(sorted(founders))


class Store:
    def __init__(self, world: World, disk: Disk, name: str, may_found: bool = False) -> None:
        self._world, self._disk, self._name, self._first = world, disk, name, may_found
        self._versions = VersionedFile(disk, "store")
        self._state_machine = StateMachine(_TRANSITIONS, name)
        self.store, self.fleet, self.founders = "", "", list[str]()
        self.may_found = False  # started first with the whole system, on an empty disk
        self.proposal: list[str] = []  # the only founding group that this store agrees to
        self.acceptors: dict[str, Acceptor] = {}
        try:
            self._open()
        except FleetError as error:
            if error.kind is ErrorKind.NEWER:
                raise
            _log.error("Store is not to be trusted and starts empty. {}", error)
            self._start_empty()

    @property
    def state(self) -> StoreState:
        return self._state_machine.state

    def _open(self) -> None:
        kept = self._versions.newest()
        if kept is None:
            if any(self._disk.names(part) for part in part_names()):
                raise FleetError(ErrorKind.BROKEN, "open", self._name, "parts without a store")
            self._start_empty()
            return
        self.store, self.fleet = field(kept, "store", str, "disk"), field(kept, "fleet", str, "disk")
        self.founders = field(kept, "founders", list, "disk")
        self.may_found, self.proposal = kept.get("mayFound") is True, list(kept.get("proposal", []))
        self._open_parts()
        if self.fleet:
            voting = any(each.votes() for each in self.acceptors.values())
            self._state_machine.take(StoreEvent.FOUNDED if voting else StoreEvent.LEARNED)
            _log.info("Store {} of fleet {} opened, {}.", self.store, self.fleet, self.state.value)

    def _start_empty(self) -> None:
        for folder in [*part_names(), "store"]:
            VersionedFile(self._disk, folder).clear()
        self._versions = VersionedFile(self._disk, "store")
        self.store, self.fleet, self.founders = f"{self._name}-{self._world.chance.randbytes(6).hex()}", "", []
        self.may_found, self.proposal = self._first, []
        self._open_parts()
        self._write(self.fleet, self.founders, self.proposal)
        _log.info("Empty store {}.", self.store)

    def _open_parts(self) -> None:
        self.acceptors = {}
        for part in part_names():
            with reading("open", part):
                acceptor = Acceptor(self._world, self.store, part, VersionedFile(self._disk, part))
            if acceptor.document is not None:
                read_document(acceptor.document)
            self.acceptors[part] = acceptor

    def _write(self, fleet: str, founders: list[str], proposal: list[str]) -> None:
        """Put this store's membership on disk, and only then take it as its own: a disk that is full keeps the old."""
        identity = {"store": self.store, "fleet": fleet, "founders": founders}
        self._versions.put({**identity, "mayFound": self.may_found, "proposal": proposal})
        self.fleet, self.founders, self.proposal = fleet, founders, proposal

    def agree(self, proposal: list[str]) -> None:
        """Agree to a founding group, and to no other while that one may be founded."""
        self._write(self.fleet, self.founders, sorted(proposal))

    def withdraw(self) -> None:
        """Agree no more to a founding group that can never be complete again."""
        _log.warning("The founding group {} can not be complete any more.", ", ".join(self.proposal))
        self._write(self.fleet, self.founders, [])

    def found(self, founders: list[str]) -> None:
        """Become a founder: the founding documents first, then the fleet's id."""
        fleet = fleet_of(founders)
        self._drop_documents(but=fleet)
        for part, acceptor in self.acceptors.items():
            if acceptor.document is None:
                acceptor.adopt(founding_document(fleet, part, founders))
        self._write(fleet, sorted(founders), self.proposal)
        self._state_machine.take(StoreEvent.FOUNDED)
        _log.notice("Founded fleet {} with {}.", fleet, ", ".join(self.founders))

    def join(self, fleet: str, founders: list[str]) -> None:
        """Belong to a fleet that others founded, without a vote."""
        self._drop_documents(but=fleet)
        self._write(fleet, founders, self.proposal)
        self._state_machine.take(StoreEvent.LEARNED)
        _log.info("Joined fleet {} as a spare.", fleet)

    def _drop_documents(self, but: str) -> None:
        """Drop what an interrupted founding of another fleet left; without a fleet no store ever voted on it."""
        for part, acceptor in self.acceptors.items():
            if acceptor.document is not None and acceptor.document["fleet"] != but:
                VersionedFile(self._disk, part).clear()
                self.acceptors[part] = Acceptor(self._world, self.store, part, VersionedFile(self._disk, part))

    def note_votes(self) -> None:
        """Follow what the documents say of this store's vote."""
        if self.state is StoreState.SPARE and any(each.votes() for each in self.acceptors.values()):
            self._state_machine.take(StoreEvent.SWAPPED_IN)
            _log.notice("Store {} has a vote now.", self.store)
        elif self.state is StoreState.VOTING and not any(each.votes() for each in self.acceptors.values()):
            self._state_machine.take(StoreEvent.SWAPPED_OUT)
            _log.notice("Store {} has no vote any more.", self.store)
