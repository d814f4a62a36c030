"""One soak from start to end, and its report."""

import json
import signal
from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import anyio
import httpx

from finchswitch.platform.soak.checks import breaches_of, excuses, not_in_force
from finchswitch.platform.soak.clients import Caller, Outcome, Request
from finchswitch.platform.soak.fleet import SoakFleet, take_net
from finchswitch.platform.soak.plan import Plan
from finchswitch.platform.soak.troubles import bring_troubles
from finchswitch.platform.stand_in import time_ms
from finchswitch.platform.stand_in_clients import ask
from finchswitch.platform.stand_in_documents import DOCUMENT, RESUMED, UNSAFE
from finchswitch.platform.stand_in_settings import FRONT_PORT

__all__ = ["Report", "run_soak"]

_DEADLINE_MS = 10_000
_CALM_MS = 3_000.0  # callers go on so long after the last trouble
_RECOVERY_MS, _RECOVERY_OF_A_PROCESS_MS = 15_000.0, 150.0  # until all are ready: a floor, and what each process adds


@dataclass
class Report:
    """What one soak saw."""

    plan: Plan
    requests: dict[str, int] = field(default_factory=dict)  # by outcome
    asked_of_stopping: int = 0
    unanswered: dict[str, int] = field(default_factory=dict)  # without an answer, by what excuses it
    lives: int = 0
    signals: dict[str, int] = field(default_factory=dict)
    changes: dict[str, int] = field(default_factory=dict)  # by the last status; 0 for no clear answer
    breaches: dict[str, list[Any]] = field(default_factory=dict)

    def line(self) -> str:
        """The report in one line."""
        plan = self.plan
        size = f"{plan.edges}+{plan.cores} processes, {plan.mix.value}, grace {plan.grace_s} s"
        total = sum(self.requests.values())
        counts = ", ".join(f"{count} {name}" for name, count in sorted(self.requests.items()))
        unanswered = ", ".join(f"{count} {name}" for name, count in sorted(self.unanswered.items()))
        signals = ", ".join(f"{count} {name}" for name, count in sorted(self.signals.items()))
        changes = ", ".join(f"{count} x {status}" for status, count in sorted(self.changes.items()))
        verdict = "BROKEN: " + ", ".join(self.breaches) if self.breaches else "nothing broken"
        return (
            f"seed {plan.seed}: {size}; {total} requests ({counts}; {self.asked_of_stopping} of stopping nodes); "
            f"without an answer: {unanswered or 'none'}; "
            f"{self.lives} lives; {signals}; changes {changes}; {verdict}"
        )


def run_soak(plan: Plan, folder: Path) -> Report:
    """Run one soak; logs, settings and data of its processes stay in the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    net, keeper = take_net()
    with keeper:
        return anyio.run(_run, plan, folder, net, backend="trio")


async def _run(plan: Plan, folder: Path, net: int) -> Report:
    async with anyio.create_task_group() as group:
        group.start_soon(_end_on_signal, group.cancel_scope)
        fleet = SoakFleet(plan, folder, group, net)
        try:
            late = await _soak(fleet)
        finally:
            fleet.end_all()
        group.cancel_scope.cancel()
    report = _report(fleet, late)
    _write(fleet, folder, report)
    return report


async def _end_on_signal(scope: anyio.CancelScope) -> None:
    """A soak that is told to stop ends its processes first."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for number in signals:
            scope.cancel(f"{number.name}")


async def _soak(fleet: SoakFleet) -> dict[str, list[str]]:
    """Start, soak, come to rest, read back, stop; what came too late or not at all, by check."""
    plan, found = fleet.plan, dict[str, list[str]]()
    recovery_ms = _RECOVERY_MS + _RECOVERY_OF_A_PROCESS_MS * len(fleet.machines)
    if not await fleet.open_up(DOCUMENT, 2 * recovery_ms):
        return {"not ready at first": _unready(fleet)}
    until_ms = time_ms() + 1000 * plan.seconds
    async with anyio.create_task_group() as calling:
        for at in range(plan.clients):
            caller = Caller(fleet.chance, fleet.desk, [UNSAFE, RESUMED], fleet.requests, stays=at % 2 == 0)
            calling.start_soon(caller.call_until, until_ms + _CALM_MS, _DEADLINE_MS)
        await bring_troubles(fleet, until_ms)
    if not await fleet.until_ready(recovery_ms):
        found["not ready in the end"] = _unready(fleet)
    read = await fleet.read_back(recovery_ms)
    found["changes lost"] = not_in_force(fleet, read)
    found["changes not in force"] = await _nodes_without(fleet, read)
    await fleet.stop_all(1000 * plan.grace_s + recovery_ms)
    return {name: wrong for name, wrong in found.items() if wrong}


def _unready(fleet: SoakFleet) -> list[str]:
    return [each.place.name for each in fleet.edges() if not fleet.desk.ready.get(each.place.name)]


async def _nodes_without(fleet: SoakFleet, read: dict[str, Any]) -> list[str]:
    """Nodes that do not serve the newest route that was read back."""
    route = read.get("routes", [UNSAFE])[-1]
    wrong = []
    async with httpx.AsyncClient(trust_env=False) as client:
        for machine in fleet.edges():
            attempt = f"{fleet.chance.getrandbits(64):016x}"
            probe = Request(attempt, route, machine.place.name, 4, time_ms(), sent_ms=time_ms())
            await ask(client, f"{machine.place.host}:{FRONT_PORT}", probe, _DEADLINE_MS)
            probe.settle()
            fleet.requests.append(probe)
            if probe.outcome is not Outcome.WHOLE:
                wrong.append(f"{probe.node}: {probe.status} for {route['name']}, {probe.reason}")
    return wrong


def _report(fleet: SoakFleet, late: dict[str, list[str]]) -> Report:
    lives = [life for machine in fleet.machines.values() for life in machine.lives]
    stopping = sum(
        any(life.stopped_ms <= each.sent_ms <= life.ended_ms for life in fleet.machines[each.node].lives)
        for each in fleet.requests
        if each.node
    )
    return Report(
        plan=fleet.plan,
        requests=dict(Counter(each.outcome.value for each in fleet.requests)),
        asked_of_stopping=stopping,
        unanswered=excuses(fleet),
        lives=len(lives),
        signals=dict(Counter(number.name for life in lives for _, number in life.signals)),
        changes=dict(Counter(str(sent.status) for sent in fleet.changes)),
        breaches={**breaches_of(fleet), **late},
    )


def _write(fleet: SoakFleet, folder: Path, report: Report) -> None:
    """What is needed to trace a breach."""
    began_ms = fleet.events[0][0] if fleet.events else 0.0
    events = "".join(f"{at_ms - began_ms:10.0f} {text}\n" for at_ms, text in fleet.events)
    (folder / "events.txt").write_text(events, "utf-8")
    kept = {**asdict(report), "plan": {**asdict(report.plan), "mix": report.plan.mix.value}}
    (folder / "report.json").write_text(json.dumps(kept, indent=1, default=str), "utf-8")
