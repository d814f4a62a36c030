"""Documents, deltas and disk contents of any shape, as they come from outside: each a whole value or a FleetError."""

import hashlib
import json

import pytest
from hypothesis import HealthCheck, Phase, example, given, settings
from hypothesis import strategies as st

from finchswitch.control.acceptor import Acceptor
from finchswitch.control.document import founding_document, grow, read_document, shrink, succeed
from finchswitch.control.orders import find_order, forgotten_mark
from finchswitch.control.store import Store
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.simulation.disk import SimDisk
from finchswitch.simulation.machine import Machine
from finchswitch.simulation.network import Net
from finchswitch.simulation.world import SimWorld
from finchswitch.storage import VersionedFile
from finchswitch.transport import reading
from finchswitch.transport.real import RealWorld

GROUP = ["a", "b", "c"]
PHASES = [Phase.explicit, Phase.generate]
QUIET = settings(
    deadline=None, suppress_health_check=list(HealthCheck), derandomize=True, max_examples=60, phases=PHASES
)
LEAVES = st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8)
JSON = st.recursive(
    LEAVES, lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner, max_size=4)
)
NAMES = st.text("abcxyz-/.", min_size=1, max_size=3)
ENTRY = st.dictionaries(NAMES, JSON, max_size=3)
BODY = st.dictionaries(st.sampled_from(["routes", "services", "kept"]), st.dictionaries(NAMES, ENTRY, max_size=4))
CHANGES = st.lists(st.tuples(BODY, st.text(max_size=12), st.text(max_size=12)), max_size=6)


def document_after(changes):
    document = founding_document("f", "creed", GROUP)
    for at, (body, change_id, digest) in enumerate(changes, 1):
        document = succeed(document, body, [change_id, digest, at], GROUP)
    return document


@QUIET
@given(CHANGES, BODY, st.text(max_size=12))
def test_a_delta_leads_to_the_very_document_that_was_shrunk(changes, body, change_id):
    base = document_after(changes)
    following = succeed(base, body, [change_id, "d", len(changes) + 1], GROUP)
    sent = json.loads(json.dumps(shrink(base, following)))
    grown = grow(base, sent)
    assert grown == following and json.dumps(grown["body"]) == json.dumps(following["body"])
    assert find_order(following, change_id, "d") is not None
    assert forgotten_mark(following) == (0, 0)


@QUIET
@given(CHANGES, BODY, st.data())
@example([], {}, None)
def test_a_delta_with_one_strange_field_leads_to_a_document_or_a_fleet_error(changes, body, data):
    base = document_after(changes)
    delta = json.loads(json.dumps(shrink(base, succeed(base, body, ["c", "d", len(changes) + 1], GROUP))))
    if data is not None:
        delta[data.draw(st.sampled_from(sorted(delta)))] = data.draw(JSON)
    try:
        with reading("vote.accept", "peer"):
            assert isinstance(grow(base, delta), dict)
    except FleetError:
        pass


class Stores:
    """Stores on disks whose newest file has any content."""

    def __init__(self, folder, content):
        self.machine = Machine("m", 0.0)
        self.disk = SimDisk(self.machine)
        self.disk.write_synced(folder, f"{1:012d}.json", content)
        self.disk.sync_folder(folder)

    def open(self):
        return Store(SimWorld(Net(None), self.machine, 1), self.disk, "m")


def signed(body):
    """A file's bytes with a right digest, so that only the content is strange."""
    disk = SimDisk(Machine("m", 0.0))
    VersionedFile(disk, "f").put(body)
    return disk.read("f", f"{1:012d}.json")


FIELDS = ["store", "fleet", "founders", "proposal", "promised", "ballot", "document"]
FOLDERS = st.sampled_from(["store", "creed", "part-0"])


@QUIET
@given(FOLDERS, st.binary(max_size=80))
def test_a_file_of_any_bytes_is_no_store(folder, content):
    store = Stores(folder, content).open()
    assert store.fleet == "" and all(each.document is None for each in store.acceptors.values())


@QUIET
@given(
    FOLDERS, st.dictionaries(st.sampled_from(["store", "fleet", "founders", "promised", "ballot", "document"]), JSON)
)
def test_a_whole_file_of_any_content_is_no_store_or_one_of_the_agreed_shape(folder, content):
    stores = Stores(folder, signed(content))
    try:
        store = stores.open()
    except FleetError as error:
        assert error.kind is ErrorKind.NEWER
        return
    assert isinstance(store.store, str) and isinstance(store.fleet, str) and isinstance(store.founders, list)


@pytest.mark.parametrize("body", ["[]", "1", "{", '{"format": "x"}', '{"format": null}', '{"format": []}', "[" * 5_000])
def test_a_file_with_a_right_digest_and_a_strange_body_is_broken(body):
    stores = Stores("creed", f"{hashlib.sha256(body.encode()).hexdigest()}\n{body}".encode())
    with pytest.raises(FleetError):
        VersionedFile(stores.disk, "creed").newest()


@QUIET
@given(st.dictionaries(st.sampled_from(sorted(founding_document("f", "creed", GROUP))), JSON))
def test_a_store_accepts_and_learns_no_document_with_a_strange_field(fields):
    document = {**founding_document("f", "creed", GROUP), **fields}
    versions = VersionedFile(SimDisk(Machine("m", 0.0)), "creed")
    acceptor = Acceptor(RealWorld(1), "a", "creed", versions)
    for take in (lambda: acceptor.learn((1, "b"), document), lambda: acceptor.accept((1, "b"), document, None)):
        try:
            take()
        except FleetError:
            pass
    assert acceptor.document is None or read_document(acceptor.document) is document
