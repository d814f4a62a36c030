"""Acceptors and shelves by themselves: what is kept, and when a vote is refused."""

from pathlib import Path
from random import Random

import pytest

import finchswitch.storage
from finchswitch.control.acceptor import Acceptor
from finchswitch.control.document import founding_document, grow, shrink, succeed
from finchswitch.control.store import Store, StoreState
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.simulation.disk import SimDisk
from finchswitch.simulation.machine import Machine
from finchswitch.storage import RealDisk, VersionedFile

GROUP = ["a", "b", "c"]


class StillWorld:
    """A clock that moves only by what the disk takes."""

    def __init__(self) -> None:
        self.chance, self.at_ms = Random(1), 0.0

    def now_ms(self) -> float:
        return self.at_ms


class SlowDisk(RealDisk):
    def __init__(self, root: Path, world: StillWorld) -> None:
        super().__init__(root)
        self.world, self.took_ms = world, 0.0

    def write_synced(self, folder: str, name: str, data: bytes) -> None:
        self.world.at_ms += self.took_ms
        super().write_synced(folder, name, data)


@pytest.fixture
def disk(tmp_path):
    return SlowDisk(tmp_path, StillWorld())


def acceptor_on(disk):
    return Acceptor(disk.world, "a", "creed", VersionedFile(disk, "creed"))


def founded(disk):
    acceptor = acceptor_on(disk)
    acceptor.adopt(founding_document("f", "creed", GROUP))
    return acceptor


def test_a_promise_outlives_a_restart(disk):
    founded(disk).prepare((5, "b"))
    again = acceptor_on(disk)
    assert again.prepare((4, "c"))["yes"] is False
    assert again.accept((4, "c"), founding_document("f", "creed", GROUP), None)["yes"] is False
    assert again.prepare((6, "c"))["yes"] is True


def test_a_delta_needs_its_very_base(disk):
    acceptor = founded(disk)
    base = acceptor.document
    following = succeed(base, {"runners": {"r": {}}}, ["c1", "d", 1], GROUP)
    acceptor.prepare((1, "b"))
    assert acceptor.accept((1, "b"), None, shrink(base, following))["lacks"] is True
    assert acceptor.accept((1, "b"), base, None)["yes"] is True
    assert acceptor.accept((1, "b"), None, shrink(base, following))["yes"] is True
    assert acceptor_on(disk).document == following


def test_an_older_step_of_the_same_ballot_is_not_taken_back(disk):
    acceptor = founded(disk)
    base = acceptor.document
    following = succeed(base, {"runners": {"r": {}}}, None, GROUP)
    assert acceptor.accept((1, "b"), following, None)["yes"] is True
    assert acceptor.accept((1, "b"), base, None)["yes"] is False
    assert acceptor.document == following


def test_a_slow_sync_is_a_no(disk):
    acceptor = founded(disk)
    disk.took_ms = 500.0
    with pytest.raises(FleetError) as error:
        acceptor.prepare((1, "b"))
    assert error.value.kind is ErrorKind.FULL


def test_a_store_outside_the_group_has_no_vote(disk):
    acceptor = acceptor_on(disk)
    document = founding_document("f", "creed", ["b", "c", "d"])
    acceptor.learn((3, "b"), document)
    with pytest.raises(FleetError):
        acceptor.prepare((4, "b"))
    swapped = succeed(document, {}, None, ["a", "b", "c"])
    assert acceptor.accept((3, "b"), swapped, None)["yes"] is True
    assert acceptor.prepare((4, "b"))["yes"] is True


def test_a_torn_newest_file_empties_the_store(tmp_path):
    world, disk = StillWorld(), RealDisk(tmp_path)
    first = Store(world, disk, "n")
    first.found([first.store, "x", "y"])
    first.acceptors["creed"].prepare((1, "x"))
    assert Store(world, disk, "n").state is StoreState.VOTING
    newest = max((tmp_path / "creed").iterdir())
    newest.write_bytes(newest.read_bytes()[:-5])
    again = Store(world, disk, "n")
    assert again.state is StoreState.EMPTY and again.store != first.store and again.fleet == ""
    assert again.acceptors["part-0"].document is None
    assert Store(world, disk, "n").store == again.store


def test_a_lost_power_takes_back_what_no_folder_sync_kept():
    disk = SimDisk(Machine("m", 0.0))
    versions = VersionedFile(disk, "x")
    versions.put({"n": 1})
    disk.write_synced("x", "000000000002.json.aside", b"")
    disk.rename("x", "000000000002.json.aside", "000000000002.json")
    disk.lose_power(keep_unsynced=False)
    assert VersionedFile(disk, "x").newest() == {"n": 1}


def test_a_full_disk_is_a_mishap_and_the_old_version_stays():
    disk = SimDisk(Machine("m", 0.0))
    versions = VersionedFile(disk, "x")
    versions.put({"n": 1})
    disk.full = True
    with pytest.raises(FleetError) as error:
        versions.put({"n": 2})
    assert error.value.kind is ErrorKind.FULL and error.value.step == "put"
    assert VersionedFile(disk, "x").newest() == {"n": 1}


def test_what_a_newer_version_wrote_is_left_as_it_is(tmp_path, monkeypatch):
    world, disk = StillWorld(), RealDisk(tmp_path)
    Store(world, disk, "n").found(["x", "y", "z"])
    monkeypatch.setattr(finchswitch.storage, "STORAGE_FORMAT", 2)
    VersionedFile(disk, "part-1").put({"promised": [9, "x"], "ballot": [0, ""], "document": None})
    before = {file: file.read_bytes() for file in sorted(tmp_path.rglob("*.json"))}
    with pytest.raises(FleetError) as error:
        Store(world, disk, "n")
    assert error.value.kind is ErrorKind.NEWER and "part-1" in str(error.value)
    assert {file: file.read_bytes() for file in sorted(tmp_path.rglob("*.json"))} == before


@pytest.mark.parametrize("names", [["b", "a", "c"], ["a", "x", "b", "c"], ["c"], ["a", "b", "c", "d"]])
def test_a_document_that_travels_as_a_delta_keeps_the_order_of_its_entries(names):
    held = succeed(founding_document("f", "creed", GROUP), {"runners": dict.fromkeys("abc", {})}, None, GROUP)
    following = succeed(held, {"runners": {name: {} for name in names}}, ["c1", "d", 1], GROUP)
    assert list(grow(held, shrink(held, following))["body"]["runners"]) == names
