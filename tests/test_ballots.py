"""No ballot carries two documents, whatever a store's disk does; a vote asked of a store is that store's alone."""

import json
from collections import defaultdict
from random import Random

import anyio
import pytest

from finchswitch.control.acceptor import Acceptor
from finchswitch.control.document import founding_document
from finchswitch.control.replicas import Replicas
from finchswitch.control.store import Store
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.simulation.core_losses import change_until, open_core
from finchswitch.simulation.deployments import CORE
from finchswitch.simulation.disk import SimDisk
from finchswitch.simulation.machine import Machine
from finchswitch.simulation.network import Net
from finchswitch.simulation.play import in_virtual_time, play
from finchswitch.simulation.world import SimWorld
from finchswitch.storage import VersionedFile


def accepts_seen(monkeypatch):
    """What was accepted anywhere, by part, ballot and step."""
    seen, keep = defaultdict(set), Acceptor._keep

    def noted(self, promised, ballot, document):
        if document is not None and ballot != (0, ""):
            seen[(self._part, ballot, document["step"])].add(json.dumps(document, sort_keys=True))
        keep(self, promised, ballot, document)

    monkeypatch.setattr(Acceptor, "_keep", noted)
    return seen


@pytest.mark.parametrize("slow_ms", [0.0, 250.0])
@pytest.mark.parametrize("step", range(1, 16, 2))
def test_no_ballot_carries_two_documents_when_its_owner_crashes(monkeypatch, step, slow_ms):
    """The owner's machine loses power at this call of its own disk, as a candidate or as an owner, and comes back."""
    seen = accepts_seen(monkeypatch)

    async def scene(cluster):
        owner, (other, _) = await open_core(cluster)
        cluster.kill(owner)
        cluster.disks[other].slow_ms = slow_ms
        calls, wait = iter(range(1, 10_000)), SimDisk._wait

        def counted(disk):
            if disk is cluster.disks[other] and next(calls) == step:
                cluster.kill(other, power=True)
            wait(disk)

        monkeypatch.setattr(SimDisk, "_wait", counted)
        cluster._group.start_soon(change_until, cluster, "mark-a", 1_500)
        await cluster.outside.sleep(3_000)
        monkeypatch.setattr(SimDisk, "_wait", wait)
        cluster.disks[other].slow_ms = 0.0
        cluster.start(owner)
        if cluster.processes[other].group is None:
            cluster.start(other)
        assert await change_until(cluster, "mark-b", 6_000)

    play(scene, CORE, step)
    assert len({ballot for _, ballot, _ in seen}) > 1
    assert all(len(documents) == 1 for documents in seen.values())


class Asked:
    """A book that notes who is asked, and what was on the asking store's disk by then."""

    def __init__(self, disk):
        self.disk, self.promises = disk, []

    async def ask(self, address, kind, body, wait_ms):
        self.promises.append(VersionedFile(self.disk, "creed").newest()["promised"])
        raise FleetError.silent(kind, address, "nobody is there")


def test_a_candidates_own_promise_is_on_its_disk_before_any_other_store_is_asked():
    async def run():
        net = Net(Random(1))
        machine = net.machine("10.0.0.1")
        world, disk = SimWorld(net, machine, 1), SimDisk(machine)
        store = Store(world, disk, "n")
        store.found([store.store, "a", "b"])
        book = Asked(disk)
        peers = type("Peers", (), {"by_store": {s: type("Peer", (), {"address": s}) for s in "ab"}})()
        async with anyio.create_task_group() as group:
            replicas = Replicas(world, store, peers, book, group)
            send, receive = anyio.create_memory_object_stream(8)
            for each in sorted(["a", "b", store.store]):
                replicas.later(each, "vote.prepare", {"part": "creed", "ballot": (7, store.store)}, 500, send)
            for _ in range(3):
                await receive.receive()
        assert book.promises == [[7, store.store]] * 2

    in_virtual_time(run, 1)


def test_a_slow_own_promise_is_a_no_and_its_ballot_is_not_used_again():
    async def run():
        machine = Machine("m", 0.0)
        net = Net(Random(1))
        world, disk = SimWorld(net, machine, 1), SimDisk(machine)
        store = Store(world, disk, "n")
        store.found([store.store, "a", "b"])
        disk.slow_ms = 300.0
        with pytest.raises(FleetError) as error:
            store.acceptors["creed"].prepare((4, store.store))
        assert error.value.kind is ErrorKind.FULL
        disk.lose_power(keep_unsynced=False)
        assert Store(world, disk, "n").acceptors["creed"].promised == (4, store.store)

    in_virtual_time(run, 1)


@pytest.mark.parametrize("kind", ["vote.prepare", "vote.accept", "vote.learn", "vote.check"])
def test_a_wiped_store_does_not_answer_for_the_one_before_it(kind):
    """Its promises are void with its disk; the new store at the same address has another id and says so."""

    async def run():
        net = Net(Random(1))
        world, disk = SimWorld(net, net.machine("10.0.0.1"), 1), SimDisk(net.machine("10.0.0.1"))
        old = Store(world, disk, "n")
        old.found([old.store, "a", "b"])
        disk.wipe()
        new = Store(world, disk, "n")
        new.join(old.fleet, old.founders)
        assert new.store != old.store
        async with anyio.create_task_group() as group:
            replicas = Replicas(world, new, None, None, group)
            document = founding_document(old.fleet, "creed", [old.store, "a", "b"])
            ask = {"part": "creed", "ballot": (1, "a"), "document": document, "fleet": old.fleet}
            with pytest.raises(FleetError) as error:
                await replicas.answer_in_turn(kind, {**ask, "store": old.store})
            assert error.value.kind is ErrorKind.REFUSED
            assert new.acceptors["creed"].promised == (0, "") and new.acceptors["creed"].document is None

    in_virtual_time(run, 1)


def test_a_store_that_only_learned_has_no_vote():
    async def run():
        net = Net(Random(1))
        world, disk = SimWorld(net, net.machine("10.0.0.1"), 1), SimDisk(net.machine("10.0.0.1"))
        store = Store(world, disk, "n")
        store.join("fleet", ["a", "b", "c"])
        store.acceptors["creed"].learn((2, "a"), founding_document("fleet", "creed", ["a", "b", "c"]))
        again = Store(world, disk, "n")
        with pytest.raises(FleetError):
            again.acceptors["creed"].prepare((3, "b"))

    in_virtual_time(run, 1)
