"""Scenes in which runners fail or change under the fleet."""

from finchswitch.rehearsal.scenes import close_up, during, open_up, pause, scene
from finchswitch.rehearsal.theatre import Theatre


@scene
async def runner_faults(theatre: Theatre) -> None:
    """Runners crash, go dark, break streams, refuse, lie, and are replaced at a reused address."""

    async def faults(_: Theatre) -> None:
        for at in range(5):
            names = sorted(name for name, runner in theatre.runners.items() if theatre.actors[name].group is not None)
            name = theatre.chance.choice(names)
            runner, kind = theatre.runners[name], theatre.chance.choice(["crash", "dark", "half", "refuse", "lie"])
            theatre.failing(name)
            if kind == "half":
                runner.break_after = theatre.chance.randint(0, 5)
            elif kind == "refuse":
                runner.refusing = True
            elif kind == "lie":
                runner.lie = theatre.chance.choice(["identity", "request"])
            elif kind == "dark":
                theatre.freeze(name)
            await pause(theatre, 1_500)
            runner.break_after, runner.refusing, runner.lie = None, False, ""
            theatre.thaw(name)
            if kind == "crash":
                host = theatre.actors[name].host
                theatre.kill(name)
                stranger = theatre.chance.random() < 0.5
                theatre.start_runner("stranger" if stranger else runner.runner, f"{runner.runner}-j{at}", host)
                await pause(theatre, 600)
                theatre.platform.remove(name)
                if stranger:
                    theatre.start_runner(runner.runner, f"{runner.runner}-k{at}")
            await pause(theatre, 800)

    await open_up(theatre)
    await during(theatre, 11_000, faults, changes=3)
    await close_up(theatre)


@scene
async def reused_address(theatre: Theatre) -> None:
    """A runner dies and a stranger takes its address while the platform's list still shows the old one."""

    async def faults(_: Theatre) -> None:
        for at in range(3):
            names = sorted(name for name, runner in theatre.runners.items() if runner.runner != "stranger")
            name = theatre.chance.choice([each for each in names if theatre.actors[each].group is not None])
            old, host = theatre.runners[name], theatre.actors[name].host
            shown = dict(theatre.platform.points)
            theatre.kill(name)
            theatre.start_runner("stranger", f"stranger-{at}", host)
            theatre.platform.points = shown
            await theatre.outside.sleep(2_000)
            theatre.platform.remove(name)
            theatre.start_runner(old.runner, f"{old.runner}-k{at}")
            await pause(theatre, 1_000)

    await open_up(theatre)
    await during(theatre, 9_000, faults, changes=2)
    await close_up(theatre)


@scene
async def replaced(theatre: Theatre) -> None:
    """The platform replaces runners one by one: leaving, a new one arrives, the old one is removed."""

    async def faults(_: Theatre) -> None:
        for at, name in enumerate(theatre.deployment.runner_names()):
            theatre.leave(f"{name}-i1")
            await theatre.outside.sleep(theatre.chance.choice([0, 4_500]))
            theatre.start_runner(name, f"{name}-j{at}")
            await theatre.outside.sleep(3_500)
            theatre.platform.remove(f"{name}-i1")

    await open_up(theatre)
    await during(theatre, 16_000, faults)
    await close_up(theatre)
