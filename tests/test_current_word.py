"""What a word of being current is worth: its age is bounded under cuts and freezes, and nodes leave who lacks it."""

import itertools
from dataclasses import replace

import anyio
import pytest

from finchswitch.constants import BEAT_MS, CONTROL_GRACE_MS, CONTROL_SILENT_MS, CURRENT_MOST_MS
from finchswitch.membership.control_peers import ControlPeer, ControlPeers
from finchswitch.simulation.deployments import VILLAGE
from finchswitch.simulation.play import play
from finchswitch.simulation.scenes import change_often, mark_edit, open_up

LOOK_MS = 50
LEAVE_MS = CONTROL_SILENT_MS + 4 * BEAT_MS  # silence, one beat, the search, and one beat to spare
SMALL = replace(VILLAGE, districts=["hill", "lake"], runners=1, spare=[])
WIDE = replace(SMALL, cores=5)
CUT_MS = 8_000


def peer(promised, confirmed=True):
    return ControlPeer(
        *("s", "n", "10.0.0.9:1", "10.0.0.9:2", "fleet"), [], [], {"creed": {"confirmed": confirmed}}, promised, {}, []
    )


def test_an_old_beat_that_arrives_late_does_not_freshen_what_an_answer_said():
    peers = ControlPeers("10.0.0.1:1", [])
    peers.heard(peer({"creed": (7, "b")}), 1_000, 990)
    peers.heard(peer({"creed": (3, "a")}), 1_010, None)
    peers.heard(peer({"creed": (3, "a")}), 1_020, 400)
    answered = peers.by_store["s"].answered
    assert answered.promised == {"creed": (7, "b")} and answered.asked_ms == 990


def acknowledged_before(cluster, at_ms):
    taken = [c for c in cluster.history.changes if c.status in (200, 202) and c.answered_ms <= at_ms]
    return max((change.generation for change in taken), default=0)


async def watch(cluster, breaches):
    """Look all the time at who says that it is current, and at what it holds."""
    while True:
        now_ms = cluster.now_ms()
        for process in cluster.processes.values():
            if process.group is None or not cluster.machine(process.name)._thawed.is_set():
                continue
            if process.control is not None:
                current = process.control.current("creed", process.control.world.now_ms())
                held, most_ms = process.control.news.generation("creed"), CURRENT_MOST_MS
            elif process.node is not None:
                current = process.node.member._controlled() and process.node.member._confirmed()
                held, most_ms = process.node.news.generation("creed"), CONTROL_GRACE_MS
            else:
                continue
            if current and held < acknowledged_before(cluster, now_ms - most_ms):
                breaches.append(f"{process.name} holds {held} at {now_ms:.0f} and calls it current")
        await anyio.sleep(LOOK_MS / 1000)


def owner_of(cluster):
    owning = [each for each in cluster.of_kind("accord") if each.control.proposers["creed"].owns()]
    return max(owning, key=lambda each: each.control.proposers["creed"].ballot).name


def cut(cluster, names, how):
    others = [each.name for each in cluster.of_kind("accord") if each.name not in names]
    for name, other in itertools.product(names, others):
        if how in ("both", "out"):
            cluster.isolate(name, [other], both=False)
        if how in ("both", "in"):
            cluster.isolate(other, [name], both=False)
    for name in names if how == "frozen" else []:
        cluster.freeze(name)


async def stays(cluster, names, for_ms):
    """How long, at most, any node's session stayed with one of the names while another node was current."""
    until_ms, longest_ms, since_ms = cluster.now_ms() + for_ms, 0.0, {}
    while cluster.now_ms() < until_ms:
        rest = [each for each in cluster.of_kind("accord") if each.name not in names]
        found = any(each.control.current("creed", each.control.world.now_ms()) for each in rest)
        away = {f"{cluster.processes[name].host}:7100" for name in names}
        for process in cluster.of_kind("transit"):
            if found and process.node.member.controls.chosen in {*away, ""}:
                from_ms = since_ms.setdefault(process.name, cluster.now_ms())
                longest_ms = max(longest_ms, cluster.now_ms() - from_ms)
            else:
                since_ms.pop(process.name, None)
        await anyio.sleep(LOOK_MS / 1000)
    return longest_ms


@pytest.mark.parametrize(
    ("whom", "how"),
    [
        *itertools.product(["owner", "follower"], ["both", "out", "in", "frozen"]),
        *itertools.product(["owner and follower"], ["both", "out"]),
    ],
)
def test_nodes_leave_who_is_not_current_and_nobody_calls_old_state_current(whom, how):
    """Two cuts, each longer than all bounds together, with changes at the others; the seeds are among those cut off."""
    stayed_ms, breaches = [], []

    async def scene(cluster):
        await open_up(cluster)
        async with anyio.create_task_group() as group:
            group.start_soon(watch, cluster, breaches)
            for at in range(2):
                owner = owner_of(cluster)
                rest = [each.name for each in cluster.of_kind("accord") if each.name != owner]
                follower = cluster.chance.choice(rest)
                names = {"owner": [owner], "follower": [follower]}.get(whom, [owner, follower])
                cut(cluster, names, how)
                group.start_soon(change_often, cluster, 6, 600, f"{at}-")
                stayed_ms.append(await stays(cluster, names, CUT_MS))
                cluster.net.heal_all()
                for name in names:
                    cluster.thaw(name)
                await cluster.outside.sleep(4_000)
            assert (await cluster.insist(mark_edit("mark-end"))).status in (200, 202)
            group.cancel_scope.cancel()

    play(scene, WIDE if whom == "owner and follower" else SMALL, 11)
    assert breaches == []
    assert max(stayed_ms) <= (CURRENT_MOST_MS + 3 * BEAT_MS if whom == "owner and follower" else LEAVE_MS), stayed_ms
