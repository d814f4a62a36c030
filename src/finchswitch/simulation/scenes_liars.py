"""Scenes in which those outside, or a peer, say what is wrong: old news, a list that flaps, pieces that stutter.

They are there for single guards, each of which is taken out in ``tests/test_guards.py`` and must be missed.
"""

from typing import Any

from finchswitch.simulation.cluster import Cluster
from finchswitch.simulation.scenes import change_often, close_up, during, expect, open_up, pause, scene, transits


@scene
async def old_news(cluster: Cluster) -> None:
    """Two routing nodes answer whoever follows them with an old snapshot, as one restored from a copy might."""

    async def faults(_: Cluster) -> None:
        await cluster.outside.sleep(1_000)
        for name in cluster.chance.sample(transits(cluster), 2):
            node = cluster.processes[name].node
            assert node is not None
            old = {part: {"generation": g, "body": node.news.body(part)} for part, g in node.news.generations().items()}
            _answer_with(node, old)
        await change_often(cluster, 6, 400)

    await open_up(cluster)
    await during(cluster, 7_000, faults, changes=4)
    for name in transits(cluster):
        cluster.processes[name].node.news.__dict__.pop("since", None)  # type: ignore[union-attr]
    await close_up(cluster)


def _answer_with(node: Any, old: dict[str, Any]) -> None:
    node.news.since = lambda have: old


@scene
async def lone_runner(cluster: Cluster) -> None:
    """One runner serves a service alone, and cuts answers before their first piece: nobody else can be tried."""
    await open_up(cluster)
    short = cluster.deployment.traffic[0].service
    lone = cluster.deployment.runner_names()[0]
    value = {"service": short, "runners": [lone]}
    await cluster.insist({"edits": [{"kind": "bindings", "name": short, "value": value}]})

    async def faults(_: Cluster) -> None:
        for _at in range(4):
            cluster.failing(f"{lone}-i1")
            cluster.runners[f"{lone}-i1"].break_after = 0
            await pause(cluster, 900)
            cluster.runners[f"{lone}-i1"].break_after = None
            cluster.thaw(f"{lone}-i1")
            await pause(cluster, 900)

    await during(cluster, 6_000, faults, changes=2)
    told = sum(call.outcome == "unknown" for call in cluster.history.calls)
    expect(cluster, told > 0, "some are told that it is unknown")
    await close_up(cluster)


@scene
async def list_flaps(cluster: Cluster) -> None:
    """The platform's list shows a runner leaving, and later, by an old copy of the list, as ready again."""

    async def faults(_: Cluster) -> None:
        for at, name in enumerate(cluster.deployment.runner_names()[:2]):
            cluster.leave(f"{name}-i1")
            await pause(cluster, 1_500)
            runner, address, _leaving = cluster.platform.points[f"{name}-i1"]
            cluster.platform.points[f"{name}-i1"] = (runner, address, False)
            await cluster.outside.sleep(4_500)
            cluster.start_runner(name, f"{name}-j{at}")
            cluster.platform.remove(f"{name}-i1")

    await open_up(cluster)
    await during(cluster, 12_000, faults)
    await close_up(cluster)


@scene
async def stutter(cluster: Cluster) -> None:
    """Runners leave a piece out, or send one twice, and end as if nothing had been."""

    async def faults(_: Cluster) -> None:
        for at in range(4):
            name = cluster.chance.choice(cluster.deployment.runner_names())
            cluster.failing(f"{name}-i1")
            cluster.runners[f"{name}-i1"].lie = ("skip", "twice")[at % 2]
            await pause(cluster, 1_500)
            cluster.runners[f"{name}-i1"].lie = ""
            cluster.thaw(f"{name}-i1")
            await pause(cluster, 500)

    await open_up(cluster)
    await during(cluster, 7_000, faults, changes=2)
    broken = sum(bool(call.pieces) and not call.done for call in cluster.history.calls)
    expect(cluster, broken > 0, "some streams stuttered")
    await close_up(cluster)
