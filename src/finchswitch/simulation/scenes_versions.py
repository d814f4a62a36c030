"""Scenes of versions: a fleet rolled forward and back under calls and changes, and a process that is too new for it."""

import anyio

from finchswitch.simulation.cluster import Cluster
from finchswitch.simulation.scenes import accords, change_often, close_up, expect, open_up, pause, scene, transits

_OLD, _BOTH, _NEW = (1, 1), (1, 2), (2, 2)  # the format written, and the newest that is read


async def _roll(cluster: Cluster, formats: tuple[int, int]) -> None:
    """One process after the other, routing nodes first, as the operators' page says."""
    for name in [*transits(cluster), *accords(cluster)]:
        if cluster.processes[name].kind == "transit":
            await cluster.stop_softly(name)
        else:
            cluster.kill(name)
        cluster.processes[name].formats = formats
        await pause(cluster, 300)
        cluster.start(name)
        await cluster.outside.sleep(1_500)


@scene
async def rolled_versions(cluster: Cluster) -> None:
    """To a version that reads the new format too, to one that writes it, and back again; streams are not cut."""
    await open_up(cluster)
    async with anyio.create_task_group() as group:
        group.start_soon(cluster.call, 54_000, 0.3)
        group.start_soon(change_often, cluster, 24, 1_000)
        for formats in (_BOTH, _NEW, _BOTH, _OLD):
            await _roll(cluster, formats)
    short = sum(call.outcome != "complete" for call in cluster.history.calls)
    expect(cluster, short <= 0.03 * len(cluster.history.calls), f"{short} calls not complete")
    await close_up(cluster)


@scene
async def too_new(cluster: Cluster) -> None:
    """One routing and one control node of a version that writes what the others cannot read: they stay outside."""
    await open_up(cluster)
    async with anyio.create_task_group() as group:
        group.start_soon(cluster.call, 10_000, 1.0)
        group.start_soon(change_often, cluster, 6, 700)
        for name in (transits(cluster)[0], accords(cluster)[0]):
            cluster.kill(name)
            cluster.processes[name].formats = _NEW
            cluster.start(name)
        await cluster.outside.sleep(6_000)
        expect(cluster, not cluster.desk.ready.get(transits(cluster)[0]), "the node that is too new is not ready")
        for name in (transits(cluster)[0], accords(cluster)[0]):
            cluster.kill(name)
            cluster.processes[name].formats = _OLD
            cluster.start(name)
    await close_up(cluster)
