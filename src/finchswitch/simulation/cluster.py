"""A cluster: a whole fleet in one process and in virtual time, with hands to break it and a history to judge.

The planes are the very ones that the programs run. What is simulated is the machine under them: wire, disk and
clock. See ``play`` for how a scene is run.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Any

import anyio
import httpx
from anyio.abc import TaskGroup

from finchswitch.constants import WIRE_FORMAT, WIRE_READS
from finchswitch.control.control_node import ControlNode
from finchswitch.control.operator_api import make_operator_api
from finchswitch.control.server import run_control_node
from finchswitch.programs.accord import stop_control_node
from finchswitch.programs.startup import Startup
from finchswitch.programs.transit import stop_node
from finchswitch.router.asks import run_node
from finchswitch.router.doors import make_doors
from finchswitch.router.node import Node
from finchswitch.simulation.callers import Calling, Desk, call_openly
from finchswitch.simulation.deployments import Deployment
from finchswitch.simulation.disk import SimDisk
from finchswitch.simulation.history import Arrival, Fault, History, ListEvent, RunSeen
from finchswitch.simulation.network import Net
from finchswitch.simulation.operated import Operated
from finchswitch.simulation.platform import StandInPlatform
from finchswitch.simulation.runner import StandInRunner, Traits
from finchswitch.simulation.world import SimWorld

__all__ = ["RUNNER_PORT", "Cluster"]

RUNNER_PORT = ":9000"


@dataclass
class Process:
    """A process on a machine of its own."""

    name: str
    host: str
    kind: str
    district: str
    group: TaskGroup | None = None
    node: Node | None = None
    control: ControlNode | None = None
    stop: anyio.Event | None = None
    closed: anyio.Event | None = None
    formats: tuple[int, int] = (WIRE_FORMAT, WIRE_READS)


class Cluster(Operated):
    def __init__(self, deployment: Deployment, seed: int, group: TaskGroup) -> None:
        self.deployment, self._group = deployment, group
        self.chance = Random(seed)
        self.net = Net(Random(self.chance.random()))
        self.history, self.platform = History(), StandInPlatform()
        self.processes: dict[str, Process] = {}
        self.disks: dict[str, SimDisk] = {}
        self.runners: dict[str, StandInRunner] = {}
        self.outside = self._world("10.0.0.1")
        self.changes = 0
        self.net.watched = RUNNER_PORT
        self._hosts = 0
        for at, district in enumerate(deployment.core_districts or ["core"] * deployment.cores, 1):
            self.cast(f"accord{at}", "accord", district, f"10.0.9.{at}")
        for at, district in enumerate(deployment.districts, 1):
            self.cast(f"transit{at}", "transit", district, f"10.0.1.{at}")
        self._seeds = [f"{process.host}:7100" for process in self.of_kind(deployment.seeds)[:3]]
        doors = {a.name: (f"{a.host}:8000", a.district) for a in self.of_kind("transit")}
        self.desk = Desk(self.outside, doors, sights=self.history.sights)

    def _world(self, host: str) -> SimWorld:
        return SimWorld(self.net, self.net.machine(host), self.chance.getrandbits(32))

    def cast(self, name: str, kind: str, district: str, host: str) -> None:
        self.processes[name] = Process(name, host, kind, district)

    def of_kind(self, kind: str) -> list[Process]:
        return [process for process in self.processes.values() if process.kind == kind]

    # Hands: starting and breaking.

    def start_all(self) -> None:
        self._group.start_soon(self._serve_platform)
        for name in [*self.deployment.runner_names(), *self.deployment.spare]:
            self.start_runner(name, f"{name}-i1")
        for process in [*self.of_kind("accord"), *self.of_kind("transit")]:
            self.start(process.name)
        self._group.start_soon(self.desk.look)

    async def _serve_platform(self) -> None:
        await self._world("10.0.0.2").serve_http(self.platform.app(), "10.0.0.2:8001", anyio.Event())

    def start_runner(self, name: str, incarnation: str, host: str = "") -> None:
        self._hosts += 1
        host = host or f"10.0.2.{self._hosts}"
        runner = StandInRunner(self._world(host), name, incarnation, Traits(slots=self.deployment.slots))
        self.runners[incarnation] = runner
        process = self.processes[incarnation] = Process(incarnation, host, "runner", "")
        self._group.start_soon(self._run, process, self._run_runner)
        self.platform.list_runner(name, incarnation, f"{host}{RUNNER_PORT}")
        self.history.listed.append(ListEvent(incarnation, "listed", anyio.current_time() * 1000))

    def start(self, name: str) -> None:
        process = self.processes[name]
        self.net.lighten(process.host)
        self.net.machine(process.host).thaw()
        run = self._run_accord if process.kind == "accord" else self._run_transit
        self._group.start_soon(self._run, process, run)

    async def _run(self, process: Process, run: Callable[[Process, TaskGroup], Awaitable[None]]) -> None:
        async with anyio.create_task_group() as group:
            process.group = group
            await run(process, group)

    async def _run_runner(self, process: Process, group: TaskGroup) -> None:
        runner = self.runners[process.name]
        await runner.world.serve_http(runner.app(), f"{process.host}{RUNNER_PORT}", anyio.Event())

    def _startup(self, process: Process) -> Startup:
        place = (f"{process.host}:7100", f"{process.host}:8000", process.district)
        bounds = self.deployment.bounds
        region, _, _ = process.district.rpartition("/")
        startup = Startup(process.name, *place, self._seeds, platform="10.0.0.2:8001", data="memory", bounds=bounds)
        return replace(startup, region=region)

    async def _run_accord(self, process: Process, group: TaskGroup) -> None:
        world = self._world(process.host)
        world.formats = process.formats
        disk = self.disks.setdefault(process.name, SimDisk(self.net.machine(process.host)))
        process.control = ControlNode(world, disk, self._startup(process), group)
        group.start_soon(self._serve, process, world, make_operator_api(process.control))
        await run_control_node(process.control)

    async def _run_transit(self, process: Process, group: TaskGroup) -> None:
        world = self._world(process.host)
        world.formats = process.formats
        node = process.node = Node(world, self._startup(process), group)
        group.start_soon(self._serve, process, world, make_doors(node))
        await run_node(node)

    async def _serve(self, process: Process, world: SimWorld, doors: Any) -> None:
        process.stop, process.closed = stop, closed = anyio.Event(), anyio.Event()
        await world.serve_http(doors, f"{process.host}:8000", stop)
        closed.set()

    def kill(self, name: str, power: bool = False) -> None:
        """kill -9, or the power gone: then peers see nothing, and the disk loses what was not synced."""
        process = self.processes[name]
        self.history.faults.append(Fault(name, self.now_ms(), self.now_ms()))
        if power:
            self.net.darken(process.host)
            if name in self.disks:
                self.disks[name].lose_power(self.chance.random() < 0.3)
        self.net.machine(process.host).cut_connections(silent=power)
        if process.group is not None:
            process.group.cancel_scope.cancel()
            process.group = None

    async def stop_softly(self, name: str) -> None:
        process = self.processes[name]
        assert process.stop and process.closed and process.group
        if process.control is not None:
            await stop_control_node(process.control, process.stop, process.closed)
        elif process.node is not None:
            await stop_node(process.node, process.stop, process.closed)
        self.net.machine(process.host).cut_connections(silent=False)
        process.group.cancel_scope.cancel()
        process.group = None

    def leave(self, incarnation: str) -> None:
        self.platform.start_leaving(incarnation)
        self.history.listed.append(ListEvent(incarnation, "leaving", anyio.current_time() * 1000))

    def machine(self, name: str) -> Any:
        return self.net.machine(self.processes[name].host)

    def failing(self, name: str) -> None:
        """From now on what it cuts is excused, until it is mended."""
        self.history.failing(name, self.now_ms())

    def freeze(self, name: str) -> None:
        self.failing(name)
        self.machine(name).freeze()

    def thaw(self, name: str) -> None:
        """Whatever was wrong with it is over."""
        self.machine(name).thaw()
        self.history.mended(name, self.now_ms())

    def isolate(self, name: str, others: list[str], both: bool = True) -> None:
        for other in others:
            self.net.cut(self.processes[name].host, self.processes[other].host)
            if both:
                self.net.cut(self.processes[other].host, self.processes[name].host)

    # What callers do.

    def now_ms(self) -> float:
        return anyio.current_time() * 1000

    async def call(self, for_ms: float, share: float, tag: str = "", patience: int = 0) -> None:
        """Callers at a share of the deployment's rate, until their last answer; refused, they may come back."""
        async with httpx.AsyncClient(transport=self.outside.http_transport(), trust_env=False) as client:
            async with anyio.create_task_group() as group:
                until_ms = self.outside.now_ms() + for_ms
                for traffic in self.deployment.traffic:
                    scaled = type(traffic)(**{**vars(traffic), "per_s": traffic.per_s * share})
                    calling = Calling(self.outside, self.desk, scaled, self.history, client, group, tag, patience)
                    group.start_soon(call_openly, calling, until_ms)

    async def settle(self, most_ms: float = 20_000) -> bool:
        """Wait until every transit that runs is ready."""
        until_ms = self.now_ms() + most_ms
        while self.now_ms() < until_ms:
            running = [process.name for process in self.of_kind("transit") if process.group is not None]
            if running and all(self.desk.ready.get(name) for name in running):
                return True
            await self.outside.sleep(50)
        return False

    def close(self) -> History:
        boot_ms = self.outside.now_ms() - self.now_ms()
        for call in self.history.calls:
            call.asked_ms -= boot_ms
            call.first_ms -= boot_ms if call.first_ms >= 0 else 0
            call.end_ms -= boot_ms if call.end_ms >= 0 else 0
        for sight in self.history.sights:
            sight.asked_ms, sight.seen_ms = sight.asked_ms - boot_ms, sight.seen_ms - boot_ms
        self.history.dials = self.net.dials
        for runner in self.runners.values():
            boot_ms = runner.world.now_ms() - self.now_ms()
            self.history.refusals += [
                Arrival(each, runner.incarnation, at_ms - boot_ms) for each, at_ms in runner.refusals
            ]
            self.history.runs += [RunSeen(**{**vars(run), "at_ms": run.at_ms - boot_ms}) for run in runner.runs]
        self.history.allowed |= {each for each in self.runners if self.runners[each].runner != "stranger"}
        return self.history
