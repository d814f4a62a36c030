"""A theatre: a whole fleet in one process and in virtual time, with hands to break it and a history to judge.

The planes are the very ones that the programs run. What is simulated is the machine under them: wire, disk and
clock. See ``play`` for how a scene is run.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import anyio
import httpx
from anyio.abc import TaskGroup

from finchswitch.accord.asks import run_council
from finchswitch.accord.council import Council
from finchswitch.accord.desk import make_desk
from finchswitch.constants import WIRE_FORMAT, WIRE_READS
from finchswitch.programs.startup import Startup
from finchswitch.programs.transit import stop_node
from finchswitch.rehearsal.callers import Calling, Desk, call_openly
from finchswitch.rehearsal.deployments import Deployment
from finchswitch.rehearsal.disk import SimDisk
from finchswitch.rehearsal.history import Arrival, Fault, History, ListEvent, RunSeen
from finchswitch.rehearsal.net import Net
from finchswitch.rehearsal.operated import Operated
from finchswitch.rehearsal.platform import StandInPlatform
from finchswitch.rehearsal.runner import StandInRunner, Traits
from finchswitch.rehearsal.world import SimWorld
from finchswitch.transit.asks import run_node
from finchswitch.transit.doors import make_doors
from finchswitch.transit.node import Node

__all__ = ["RUNNER_PORT", "Theatre"]

RUNNER_PORT = ":9000"


@dataclass
class Actor:
    """A process on a machine of its own."""

    name: str
    host: str
    kind: str
    district: str
    group: TaskGroup | None = None
    node: Node | None = None
    council: Council | None = None
    stop: anyio.Event | None = None
    closed: anyio.Event | None = None
    formats: tuple[int, int] = (WIRE_FORMAT, WIRE_READS)


class Theatre(Operated):
    def __init__(self, deployment: Deployment, seed: int, group: TaskGroup) -> None:
        self.deployment, self._group = deployment, group
        self.chance = Random(seed)
        self.net = Net(Random(self.chance.random()))
        self.history, self.platform = History(), StandInPlatform()
        self.actors: dict[str, Actor] = {}
        self.disks: dict[str, SimDisk] = {}
        self.runners: dict[str, StandInRunner] = {}
        self.outside = self._world("10.0.0.1")
        self.changes = 0
        self.net.watched = RUNNER_PORT
        self._hosts = 0
        cores = [f"accord{at}" for at in range(1, deployment.cores + 1)]
        for name in cores:
            self.cast(name, "accord", "core", f"10.0.9.{len(self.actors) + 1}")
        for at, district in enumerate(deployment.districts, 1):
            self.cast(f"transit{at}", "transit", district, f"10.0.1.{at}")
        self._seeds = [f"{actor.host}:7100" for actor in self.of_kind(deployment.seeds)[:3]]
        doors = {a.name: (f"{a.host}:8000", a.district) for a in self.of_kind("transit")}
        self.desk = Desk(self.outside, doors, sights=self.history.sights)

    def _world(self, host: str) -> SimWorld:
        return SimWorld(self.net, self.net.machine(host), self.chance.getrandbits(32))

    def cast(self, name: str, kind: str, district: str, host: str) -> None:
        self.actors[name] = Actor(name, host, kind, district)

    def of_kind(self, kind: str) -> list[Actor]:
        return [actor for actor in self.actors.values() if actor.kind == kind]

    # Hands: starting and breaking.

    def start_all(self) -> None:
        self._group.start_soon(self._serve_platform)
        for name in [*self.deployment.runner_names(), *self.deployment.spare]:
            self.start_runner(name, f"{name}-i1")
        for actor in [*self.of_kind("accord"), *self.of_kind("transit")]:
            self.start(actor.name)
        self._group.start_soon(self.desk.look)

    async def _serve_platform(self) -> None:
        await self._world("10.0.0.2").serve_http(self.platform.app(), "10.0.0.2:8001", anyio.Event())

    def start_runner(self, name: str, incarnation: str, host: str = "") -> None:
        self._hosts += 1
        host = host or f"10.0.2.{self._hosts}"
        runner = StandInRunner(self._world(host), name, incarnation, Traits(slots=self.deployment.slots))
        self.runners[incarnation] = runner
        actor = self.actors[incarnation] = Actor(incarnation, host, "runner", "")
        self._group.start_soon(self._run, actor, self._run_runner)
        self.platform.list_runner(name, incarnation, f"{host}{RUNNER_PORT}")
        self.history.listed.append(ListEvent(incarnation, "listed", anyio.current_time() * 1000))

    def start(self, name: str) -> None:
        actor = self.actors[name]
        self.net.lighten(actor.host)
        self.net.machine(actor.host).thaw()
        run = self._run_accord if actor.kind == "accord" else self._run_transit
        self._group.start_soon(self._run, actor, run)

    async def _run(self, actor: Actor, run: Callable[[Actor, TaskGroup], Awaitable[None]]) -> None:
        async with anyio.create_task_group() as group:
            actor.group = group
            await run(actor, group)

    async def _run_runner(self, actor: Actor, group: TaskGroup) -> None:
        runner = self.runners[actor.name]
        await runner.world.serve_http(runner.app(), f"{actor.host}{RUNNER_PORT}", anyio.Event())

    def _startup(self, actor: Actor) -> Startup:
        place = (f"{actor.host}:7100", f"{actor.host}:8000", actor.district)
        return Startup(actor.name, *place, self._seeds, platform="10.0.0.2:8001", data="memory")

    async def _run_accord(self, actor: Actor, group: TaskGroup) -> None:
        world = self._world(actor.host)
        world.formats = actor.formats
        disk = self.disks.setdefault(actor.name, SimDisk(self.net.machine(actor.host)))
        actor.council = Council(world, disk, self._startup(actor), group)
        actor.stop = anyio.Event()
        group.start_soon(world.serve_http, make_desk(actor.council), f"{actor.host}:8000", actor.stop)
        await run_council(actor.council)

    async def _run_transit(self, actor: Actor, group: TaskGroup) -> None:
        world = self._world(actor.host)
        world.formats = actor.formats
        node = actor.node = Node(world, self._startup(actor), group)
        stop, closed = actor.stop, actor.closed = anyio.Event(), anyio.Event()

        async def serve() -> None:
            await world.serve_http(make_doors(node), f"{actor.host}:8000", stop)
            closed.set()

        group.start_soon(serve)
        await run_node(node)

    def kill(self, name: str, power: bool = False) -> None:
        """kill -9, or the power gone: then peers see nothing, and the disk loses what was not synced."""
        actor = self.actors[name]
        self.history.faults.append(Fault(name, self.now_ms(), self.now_ms()))
        if power:
            self.net.darken(actor.host)
            if name in self.disks:
                self.disks[name].lose_power(self.chance.random() < 0.3)
        self.net.machine(actor.host).cut_connections(silent=power)
        if actor.group is not None:
            actor.group.cancel_scope.cancel()
            actor.group = None

    async def stop_softly(self, name: str) -> None:
        actor = self.actors[name]
        assert actor.node and actor.stop and actor.closed and actor.group
        await stop_node(actor.node, actor.stop, actor.closed)
        self.net.machine(actor.host).cut_connections(silent=False)
        actor.group.cancel_scope.cancel()
        actor.group = None

    def leave(self, incarnation: str) -> None:
        self.platform.start_leaving(incarnation)
        self.history.listed.append(ListEvent(incarnation, "leaving", anyio.current_time() * 1000))

    def machine(self, name: str) -> Any:
        return self.net.machine(self.actors[name].host)

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
            self.net.cut(self.actors[name].host, self.actors[other].host)
            if both:
                self.net.cut(self.actors[other].host, self.actors[name].host)

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
            running = [actor.name for actor in self.of_kind("transit") if actor.group is not None]
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
