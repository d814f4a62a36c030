"""The troubles of a soak: stops, signals, changes and releases in series that overlap, at moments that are drawn."""

import signal
from itertools import count

from finchswitch.platform.soak.fleet import SoakFleet
from finchswitch.platform.soak.machines import Machine
from finchswitch.platform.soak.plan import Mix
from finchswitch.platform.stand_in import time_ms
from finchswitch.platform.stand_in_clients import Sent
from finchswitch.platform.stand_in_documents import added

__all__ = ["bring_troubles"]

# What a process that is stopping may get beside: what is more likely stands more often.
_WHILE_STOPPING = (signal.SIGHUP,) * 3 + (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGUSR2)
_SPOILED = (None, "", "seed_nodes: [", "- a list", "seed_nodes: 7\nzone: hill\n", "\x00\xff")
_SPOILED_MS, _SETTLED_MS = 400.0, 10_000.0
_RELEASE_PAUSE_S, _RELEASE_WARM_MS, _RELEASE_DRAIN_MS = 5.0, 1_500.0, 6_000.0
_KILL_PAUSE_S, _FREEZE_MS = 3.0, (100.0, 3_000.0)


async def bring_troubles(fleet: SoakFleet, until_ms: float) -> None:
    """Start the series; each ends by itself at the given time."""
    series = [_stops, _reloads, _changes, _changes, _releases]
    if fleet.plan.mix is Mix.MIXED:
        series += [_kills, _freezes]
    for each in series:
        fleet.group.start_soon(each, fleet, until_ms)


async def _pause(fleet: SoakFleet, mean_s: float) -> None:
    await fleet.world.sleep(1000 * fleet.chance.expovariate(1 / mean_s))


async def _stops(fleet: SoakFleet, until_ms: float) -> None:
    """Routing nodes are stopped in series, some at once, and control nodes one at a time."""
    while time_ms() < until_ms:
        await _pause(fleet, fleet.plan.series_pause_s)
        if fleet.chance.random() < 0.25:
            victims = [core for core in fleet.chance.sample(fleet.cores(), 1) if _all_settled(fleet.cores())]
        else:
            most = max(1, (2 * fleet.plan.edges) // 3)
            victims = fleet.chance.sample(fleet.edges(), fleet.chance.randint(1, most))
        gap_ms = fleet.chance.choice([0.0, 50.0, 1_000.0])
        for machine in victims:
            if not _is_stopping(machine):
                fleet.group.start_soon(_stop, fleet, machine)
            await fleet.world.sleep(gap_ms)


async def _stop(fleet: SoakFleet, machine: Machine) -> None:
    """One planned stop, with other signals at any moment of it."""
    life = fleet.stop(machine)
    if life is None:
        return
    for _ in range(fleet.chance.randint(0, 5)):
        await fleet.world.sleep(fleet.chance.uniform(0, 300 * fleet.plan.grace_s))
        if machine.lives[-1] is not life or not fleet.signal(machine, fleet.chance.choice(_WHILE_STOPPING)):
            return


async def _reloads(fleet: SoakFleet, until_ms: float) -> None:
    """Settings files change, some to what cannot be read for a while, and SIGHUPs say so."""
    while time_ms() < until_ms:
        await _pause(fleet, fleet.plan.series_pause_s)
        machines = list(fleet.machines.values())
        for machine in fleet.chance.sample(machines, fleet.chance.randint(1, len(machines))):
            fleet.group.start_soon(_reload, fleet, machine)
            await fleet.world.sleep(fleet.chance.choice([0.0, 0.0, 100.0]))


async def _reload(fleet: SoakFleet, machine: Machine) -> None:
    if fleet.chance.random() < 0.3 and _is_settled(machine):
        machine.spoil_settings(fleet.chance.choice(_SPOILED))
        fleet.signal(machine, signal.SIGHUP)
        await fleet.world.sleep(_SPOILED_MS)
    machine.write_settings(fleet.seeds(), first_start=False)
    fleet.signal(machine, signal.SIGHUP)


async def _changes(fleet: SoakFleet, until_ms: float) -> None:
    """An operator adds routes, each change on the newest revision that it knows of."""
    own = fleet.chance.randint(1, 10_000)
    revision = await _newest(fleet)
    for at in count():
        await _pause(fleet, fleet.plan.series_pause_s)
        if time_ms() >= until_ms:
            return
        following = revision + fleet.chance.randint(1, 3)
        patch = {"revision": following, "upsert": {"routes": [added(10_000 * own + at % 20)]}}
        sent = await fleet.operate(Sent("PATCH", revision, patch))
        revision = following if sent.status == 200 else await _newest(fleet)


async def _newest(fleet: SoakFleet) -> int:
    return int((await fleet.read_back(5_000)).get("revision", 0))


async def _releases(fleet: SoakFleet, until_ms: float) -> None:
    """Runners are replaced one after the other; none is taken away while it may have work."""
    while time_ms() < until_ms:
        await _pause(fleet, _RELEASE_PAUSE_S)
        old = next(iter(fleet.listing.entries), None)
        new = await fleet.start_runner()
        await fleet.world.sleep(_RELEASE_WARM_MS)
        if old is None or new == old:
            continue
        fleet.note(f"{old} drains")
        fleet.instances[old].leaving = True
        fleet.listing.drain(old)
        await fleet.world.sleep(_RELEASE_DRAIN_MS)
        fleet.listing.remove(old)


async def _kills(fleet: SoakFleet, until_ms: float) -> None:
    while time_ms() < until_ms:
        await _pause(fleet, _KILL_PAUSE_S)
        machine = fleet.chance.choice(list(fleet.machines.values()))
        if machine.place.is_edge or _all_settled(fleet.cores()):
            fleet.signal(machine, signal.SIGKILL)


async def _freezes(fleet: SoakFleet, until_ms: float) -> None:
    while time_ms() < until_ms:
        await _pause(fleet, _KILL_PAUSE_S)
        machine = fleet.chance.choice(list(fleet.machines.values()))
        if fleet.signal(machine, signal.SIGSTOP):
            await fleet.world.sleep(fleet.chance.uniform(*_FREEZE_MS))
            fleet.signal(machine, signal.SIGCONT)


def _is_stopping(machine: Machine) -> bool:
    return not machine.running or machine.lives[-1].stopped_ms < time_ms()


def _is_settled(machine: Machine) -> bool:
    return not _is_stopping(machine) and time_ms() - machine.lives[-1].started_ms > _SETTLED_MS


def _all_settled(machines: list[Machine]) -> bool:
    return all(_is_settled(each) for each in machines)
