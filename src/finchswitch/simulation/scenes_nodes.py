"""Scenes that break routing nodes: isolated, frozen, killed, stopped as planned, or everything lost at once."""

from finchswitch.simulation.cluster import Cluster
from finchswitch.simulation.scenes import accords, close_up, during, expect, mark_edit, open_up, pause, scene, transits


@scene
async def nodes_cut(cluster: Cluster) -> None:
    """Routing nodes are isolated, from control only, from peers only, from all, and in pairs."""

    async def faults(_: Cluster) -> None:
        for _at in range(3):
            count = cluster.chance.choice([1, 1, 2, 3])
            cut = cluster.chance.sample(transits(cluster), count)
            rest = [name for name in transits(cluster) if name not in cut]
            others = cluster.chance.choice([accords(cluster), rest, [*accords(cluster), *rest]])
            for name in cut:
                cluster.isolate(name, others, both=cluster.chance.random() < 0.7)
            await cluster.outside.sleep(cluster.chance.uniform(4_000, 8_000))
            cluster.net.heal_all()
            await pause(cluster, 1_000)

    await open_up(cluster)
    await during(cluster, 24_000, faults, changes=24)
    await close_up(cluster)


@scene
async def freezes(cluster: Cluster) -> None:
    """Machines of every kind freeze past every lease and wake."""

    async def faults(_: Cluster) -> None:
        for _at in range(4):
            name = cluster.chance.choice([*accords(cluster), *transits(cluster)])
            cluster.freeze(name)
            await cluster.outside.sleep(cluster.chance.uniform(500, 7_000))
            cluster.thaw(name)
            await pause(cluster, 700)

    await open_up(cluster)
    await during(cluster, 18_000, faults, changes=24)
    await close_up(cluster)


@scene
async def node_kills(cluster: Cluster) -> None:
    """Routing nodes are killed, singly and several together, and start again."""

    async def faults(_: Cluster) -> None:
        for _at in range(3):
            await pause(cluster, 1_500)
            names = cluster.chance.sample(transits(cluster), cluster.chance.choice([1, 2, 3]))
            for name in names:
                cluster.kill(name, power=cluster.chance.random() < 0.4)
            await pause(cluster, 2_500)
            for name in names:
                cluster.start(name)

    await open_up(cluster)
    await during(cluster, 10_000, faults)
    await close_up(cluster)


@scene
async def rolling_stop(cluster: Cluster) -> None:
    """Every routing node is stopped as planned and started again, under streams."""

    async def faults(_: Cluster) -> None:
        for name in transits(cluster):
            await cluster.stop_softly(name)
            await pause(cluster, 400)
            cluster.start(name)
            await cluster.outside.sleep(1_200)

    await open_up(cluster)
    await during(cluster, 10_000, faults)
    await close_up(cluster)
    short = sum(call.outcome != "complete" for call in cluster.history.calls)
    expect(cluster, short <= 0.02 * len(cluster.history.calls), f"{short} calls not complete")


@scene
async def big_loss(cluster: Cluster) -> None:
    """Every process of the fleet dies at once; a quarter of the service is back 12 s after the machines are."""
    await open_up(cluster)
    await cluster.insist(mark_edit("mark-before"), "mark-before")
    await cluster.call(2_000, 1.0)
    for name in [*accords(cluster), *transits(cluster)]:
        cluster.kill(name, power=True)
    await cluster.outside.sleep(3_000)
    for name in [*accords(cluster), *transits(cluster)]:
        cluster.start(name)
    await cluster.outside.sleep(12_000 - 3_000)
    await cluster.call(3_000, 1.0, "-back")
    back = [call for call in cluster.history.calls if "-back-" in call.request_id]
    good = sum(call.outcome == "complete" for call in back)
    expect(cluster, good >= 0.25 * len(back), f"{good} of {len(back)} served after the return")
    await close_up(cluster)
