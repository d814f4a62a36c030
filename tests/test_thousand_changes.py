"""A thousand changes with restarts, wipes, cuts and thirty seconds away: coming back costs no more at the end."""

import gc
from collections import Counter

import httpx

from finchswitch.constants import CONFIGURATION_PART
from finchswitch.control import orders
from finchswitch.simulation.deployments import CORE
from finchswitch.simulation.network import SimStream
from finchswitch.simulation.play import play
from finchswitch.simulation.scenes import mark_edit

CHANGES = 1_000
NAMES = ["accord1", "accord2", "accord3"]
TROUBLES = ["restart", "power", "wipe", "away", "cut"]
BETWEEN = 50
AWAY_MS = 30_000


class Storm:
    """The changes, the troubles between them, and what each return took."""

    def __init__(self, cluster, received):
        self.cluster, self.received = cluster, received
        self.newest, self.taken, self.victim = 0, 0, ""
        self.returns = {trouble: [] for trouble in TROUBLES}
        self.disk_bytes, self.objects = [], []

    async def run(self):
        first = await self.cluster.insist({"configuration": self.cluster.deployment.configuration()})
        self.newest = first.generation
        for round_at in range(CHANGES // BETWEEN):
            victim, trouble = NAMES[round_at % 3], TROUBLES[round_at % len(TROUBLES)]
            await self._change(BETWEEN // 2)
            self.victim = victim
            await self._break(victim, trouble)
            began_ms = self.cluster.now_ms()
            await self._change(BETWEEN // 2)
            if trouble in ("away", "cut"):
                await self.cluster.outside.sleep(max(0.0, began_ms + AWAY_MS - self.cluster.now_ms()))
            await self._come_back(victim, trouble)
            self.victim = ""
            self._weigh()

    async def _change(self, count):
        for _ in range(count):
            self.taken += 1
            content = mark_edit(f"mark-{self.taken % 16}")
            change = await self.cluster.change(self.newest, content, at=self._living())
            until_ms = self.cluster.now_ms() + 20_000
            while change.status not in (200, 202):
                assert change.status in (0, 503, 504) and self.cluster.now_ms() < until_ms, change
                await self.cluster.outside.sleep(100)
                sent = {"change_id": change.change_id, "again": True}
                change = await self.cluster.change(self.newest, content, at=self._living(), **sent)
            assert change.generation == self.newest + 1
            self.newest = change.generation
            del self.cluster.history.changes[:]

    def _living(self):
        return self.cluster.chance.choice([name for name in NAMES if name != self.victim])

    async def _break(self, victim, trouble):
        if trouble == "cut":
            self.cluster.isolate(victim, [name for name in NAMES if name != victim])
            return
        self.cluster.kill(victim, power=trouble == "power")
        if trouble == "wipe":
            self.cluster.disks[victim].wipe()

    async def _come_back(self, victim, trouble):
        process = self.cluster.processes[victim]
        before, began_ms = self.received[process.host], self.cluster.now_ms()
        if trouble == "cut":
            self.cluster.net.heal_all()
        else:
            self.cluster.start(victim)
        while not self._is_current(process):
            await self._read(process)
            await self.cluster.outside.sleep(10)
        took_ms = self.cluster.now_ms() - began_ms
        assert process.control.news.generation(CONFIGURATION_PART) == self.newest
        self.returns[trouble].append((took_ms, self.received[process.host] - before))
        await self.cluster.outside.sleep(6_000)

    def _is_current(self, process):
        control = process.control
        return process.group is not None and control.current(CONFIGURATION_PART, control.world.now_ms())

    async def _read(self, process):
        """Whatever it says before it is current is marked as not current, or is the newest."""
        async with httpx.AsyncClient(transport=self.cluster.outside.http_transport(), timeout=2) as client:
            try:
                shown = await client.get(f"http://{process.host}:8000/v1/configuration")
                surely = await client.get(f"http://{process.host}:8000/v1/configuration?current=true")
            except httpx.HTTPError:
                return
        assert not shown.json()["current"] or shown.json()["generation"] == self.newest
        assert surely.status_code != 200 or surely.json()["generation"] == self.newest

    def _weigh(self):
        disks = self.cluster.disks.values()
        self.disk_bytes.append(
            sum(len(data) for disk in disks for folder in disk._live.values() for data in folder.values())
        )
        self.cluster.history.faults.clear()
        gc.collect()
        self.objects.append(len(gc.get_objects()))


def test_coming_back_after_a_thousand_changes_costs_no_more_than_after_fifty(monkeypatch):
    monkeypatch.setattr(orders, "ORDERS_A_BLOCK", 8)
    monkeypatch.setattr(orders, "ORDER_BLOCKS_MOST", 4)  # what is remembered is full after 32 orders
    received, send, storms = Counter(), SimStream.send, []

    async def counted(stream, item):
        received[stream.peer._machine.name] += len(item)
        await send(stream, item)

    monkeypatch.setattr(SimStream, "send", counted)

    async def scene(cluster):
        storms.append(Storm(cluster, received))
        await storms[0].run()

    play(scene, CORE, 1)
    storm = storms[0]
    print(storm.returns, storm.disk_bytes, storm.objects)
    for trouble, returns in storm.returns.items():
        (first_ms, _), (last_ms, last_bytes) = returns[0], returns[-1]
        assert last_ms < first_ms + 2_000 and last_ms < 5_000, (trouble, returns)
        assert last_bytes < 2 * max(each for _, each in returns[:2]) + 20_000, (trouble, returns)
    assert max(storm.disk_bytes[-5:]) < 1.1 * max(storm.disk_bytes[:5])
    assert max(storm.objects[-5:]) < 1.1 * max(storm.objects[:5])
