"""Scenes in which runners fail or change under the fleet."""

from finchswitch.simulation.cluster import Cluster
from finchswitch.simulation.scenes import close_up, during, open_up, pause, scene


@scene
async def runner_faults(cluster: Cluster) -> None:
    """Runners crash, go dark, break streams, refuse, lie, and are replaced at a reused address."""

    async def faults(_: Cluster) -> None:
        for at in range(5):
            names = sorted(
                name for name, runner in cluster.runners.items() if cluster.processes[name].group is not None
            )
            name = cluster.chance.choice(names)
            runner, kind = cluster.runners[name], cluster.chance.choice(["crash", "dark", "half", "refuse", "lie"])
            cluster.failing(name)
            if kind == "half":
                runner.break_after = cluster.chance.randint(0, 5)
            elif kind == "refuse":
                runner.refusing = True
            elif kind == "lie":
                runner.lie = cluster.chance.choice(["identity", "request"])
            elif kind == "dark":
                cluster.freeze(name)
            await pause(cluster, 1_500)
            runner.break_after, runner.refusing, runner.lie = None, False, ""
            cluster.thaw(name)
            if kind == "crash":
                host = cluster.processes[name].host
                cluster.kill(name)
                stranger = cluster.chance.random() < 0.5
                cluster.start_runner("stranger" if stranger else runner.runner, f"{runner.runner}-j{at}", host)
                await pause(cluster, 600)
                cluster.platform.remove(name)
                if stranger:
                    cluster.start_runner(runner.runner, f"{runner.runner}-k{at}")
            await pause(cluster, 800)

    await open_up(cluster)
    await during(cluster, 11_000, faults, changes=3)
    await close_up(cluster)


@scene
async def reused_address(cluster: Cluster) -> None:
    """A runner dies and a stranger takes its address while the platform's list still shows the old one."""

    async def faults(_: Cluster) -> None:
        for at in range(3):
            names = sorted(name for name, runner in cluster.runners.items() if runner.runner != "stranger")
            name = cluster.chance.choice([each for each in names if cluster.processes[each].group is not None])
            old, host = cluster.runners[name], cluster.processes[name].host
            shown = dict(cluster.platform.points)
            cluster.kill(name)
            cluster.start_runner("stranger", f"stranger-{at}", host)
            cluster.platform.points = shown
            await cluster.outside.sleep(2_000)
            cluster.platform.remove(name)
            cluster.start_runner(old.runner, f"{old.runner}-k{at}")
            await pause(cluster, 1_000)

    await open_up(cluster)
    await during(cluster, 9_000, faults, changes=2)
    await close_up(cluster)


@scene
async def replaced(cluster: Cluster) -> None:
    """The platform replaces runners one by one: leaving, a new one arrives, the old one is removed."""

    async def faults(_: Cluster) -> None:
        for at, name in enumerate(cluster.deployment.runner_names()):
            cluster.leave(f"{name}-i1")
            await cluster.outside.sleep(cluster.chance.choice([0, 4_500]))
            cluster.start_runner(name, f"{name}-j{at}")
            await cluster.outside.sleep(3_500)
            cluster.platform.remove(f"{name}-i1")

    await open_up(cluster)
    await during(cluster, 16_000, faults)
    await close_up(cluster)
