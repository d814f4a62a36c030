"""A whole fleet on a stand-in of the platform, in virtual time: its machines, its runners, its list and its callers.

The nodes are those that the adapter's programs run, with settings read from a settings file; see ``play_fleet``.
"""

import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import httpx
import yaml
from anyio.abc import TaskGroup

from finchswitch.constants import CONFIGURATION_PART
from finchswitch.control.control_node import ControlNode
from finchswitch.control.server import run_control_node
from finchswitch.platform.calls import PlatformDialect
from finchswitch.platform.instances import InstanceLister
from finchswitch.platform.programs import make_control, make_looks
from finchswitch.platform.settings import read_settings
from finchswitch.platform.stand_in import StandInInstance, time_ms
from finchswitch.platform.stand_in_checks import Seen
from finchswitch.platform.stand_in_clients import Asked, Gate, Sent, ask, send_change
from finchswitch.platform.stand_in_documents import SERVICE
from finchswitch.platform.stand_in_list import StandInList
from finchswitch.platform.stand_in_settings import Place, settings_fields
from finchswitch.programs.startup import Startup
from finchswitch.router.asks import run_node
from finchswitch.router.doors import Calls
from finchswitch.router.node import Node
from finchswitch.simulation.cluster import RUNNER_PORT, Cluster, Process
from finchswitch.simulation.deployments import Deployment
from finchswitch.simulation.disk import SimDisk
from finchswitch.simulation.play import in_virtual_time
from finchswitch.transport import World

__all__ = ["DEPLOYMENT", "StandInFleet", "play_fleet"]

DEPLOYMENT = Deployment("site", ["hill", "hill", "lake"], cores=3, runners=3, slots=16, traffic=[])
_CLOUD = "10.0.0.2:8001"


class StandInFleet(Cluster):
    def __init__(self, seed: int, group: TaskGroup, folder: Path) -> None:
        super().__init__(DEPLOYMENT, seed, group)
        self.listing, self.instances = StandInList(), dict[str, StandInInstance]()
        self.asked: list[Asked] = []
        self.sent: list[Sent] = []
        self.desk = Gate(self.outside, self.desk.nodes)
        self._folder, self._first_start = folder, True
        self.make_instance: Callable[[World, str, str, int], StandInInstance] = StandInInstance

    async def _serve_platform(self) -> None:
        await self._world("10.0.0.2").serve_http(self.listing.app(), _CLOUD, anyio.Event())

    def start_runner(self, name: str, incarnation: str, host: str = "", service: str = SERVICE) -> None:
        self._hosts += 1
        host = host or f"10.0.2.{self._hosts}"
        self.instances[incarnation] = self.make_instance(self._world(host), service, incarnation, DEPLOYMENT.slots)
        process = self.processes[incarnation] = Process(incarnation, host, "runner", "")
        self._group.start_soon(self._run, process, self._run_runner)
        self.listing.put(incarnation, service, f"{host}{RUNNER_PORT}", DEPLOYMENT.slots)

    async def _run_runner(self, process: Process, group: TaskGroup) -> None:
        instance = self.instances[process.name]
        await instance.serve(f"{process.host}{RUNNER_PORT}", group)

    def leave(self, incarnation: str) -> None:
        """From now on the runner is leaving; the list shows it a little later."""
        self.instances[incarnation].leaving = True
        self.listing.drain(incarnation)

    def _startup(self, process: Process) -> Startup:
        seeds = [each.host for each in self.of_kind("accord")[:3]]
        place = Place(process.name, process.host, process.district, process.kind == "transit", "/data")
        fields = settings_fields(place, seeds, _CLOUD, self._first_start)
        file = self._folder / f"{process.name}.yaml"
        file.write_text(yaml.safe_dump(fields), "utf-8")
        return read_settings(process.kind, str(file)).unwrap()[0]

    async def _run_accord(self, process: Process, group: TaskGroup) -> None:
        world = self._world(process.host)
        disk = self.disks.setdefault(process.name, SimDisk(self.net.machine(process.host)))
        process.control = ControlNode(world, disk, self._startup(process), group)
        group.start_soon(world.serve_http, make_control(process.control), f"{process.host}:8000", anyio.Event())
        await run_control_node(process.control)

    async def _run_transit(self, process: Process, group: TaskGroup) -> None:
        world = self._world(process.host)
        node = process.node = Node(world, self._startup(process), group, PlatformDialect(), InstanceLister)
        stop, closed = process.stop, process.closed = anyio.Event(), anyio.Event()

        async def serve() -> None:
            await world.serve_http(Calls(node), f"{process.host}:8000", stop)
            closed.set()

        group.start_soon(serve)
        group.start_soon(world.serve_http, make_looks(node), f"{process.host}:8001", anyio.Event())
        await run_node(node)

    async def replace_core(self, lost: str, name: str, host: str) -> None:
        """The machine is gone for good; another with an empty disk joins at a new address."""
        self.kill(lost, power=True)
        del self.processes[lost], self.disks[lost]
        await self.outside.sleep(1_000)
        self.cast(name, "accord", "core", host)
        self.start(name)

    def owner(self) -> str:
        """The control node that owns the configuration, by its own word."""
        for process in self.of_kind("accord"):
            control = process.control
            if process.group is not None and control is not None and control.proposers[CONFIGURATION_PART].owns():
                return process.name
        return ""

    async def open_up(self, document: dict[str, Any]) -> None:
        """The first configuration is sent until it is taken; then the nodes become ready."""
        self.start_all()
        await self.outside.sleep(500)
        await self.operate("PUT", 0, document)
        self._first_start = False
        assert await self.settle()

    async def operate(self, method: str, match: int, document: dict[str, Any]) -> Sent:
        sent = Sent(method, match, document)
        self.sent.append(sent)
        desks = [f"{process.host}:8000" for process in self.of_kind("accord")]
        self.chance.shuffle(desks)
        async with httpx.AsyncClient(transport=self.outside.http_transport(), trust_env=False) as client:
            await send_change(client, desks, sent)
        return sent

    async def read_back(self, most_ms: float = 3_000) -> dict[str, Any]:
        """The newest configuration, asked for again and again from one node after another."""
        until_ms = self.now_ms() + most_ms
        async with httpx.AsyncClient(transport=self.outside.http_transport(), trust_env=False) as client:
            while self.now_ms() < until_ms:
                for process in self.of_kind("accord"):
                    try:
                        answer = await client.get(f"http://{process.host}:8000/api/configuration", timeout=1.0)
                        if answer.status_code == 200:
                            return dict(answer.json())
                    except httpx.HTTPError:
                        continue
                await self.outside.sleep(100)
        return {}

    async def ask_openly(self, route: dict[str, Any], per_s: float, for_ms: float, events: int = 8) -> None:
        """Clients of a route at a rate, until the last answer has ended."""
        until_ms = self.now_ms() + for_ms
        async with httpx.AsyncClient(transport=self.outside.http_transport(), trust_env=False) as client:
            async with anyio.create_task_group() as group:
                while self.now_ms() < until_ms:
                    await self.outside.sleep(self.chance.expovariate(per_s) * 1000)
                    group.start_soon(self.ask_once, client, route, events)

    async def ask_once(
        self, client: httpx.AsyncClient, route: dict[str, Any], events: int = 8, node: str = ""
    ) -> Asked:
        """One try at a node, or at one to which the platform hands it."""
        attempt = f"{self.chance.getrandbits(64):016x}"
        node = node or self.desk.hand(self.chance.choice(["hill", "lake"])) or ""
        asked = Asked(attempt, route, node, events, time_ms(), f"body of {attempt}".encode())
        self.asked.append(asked)
        if node:
            await ask(client, self.desk.nodes[node][0], asked)
        return asked

    def seen(self) -> Seen:
        instances = self.instances.values()
        return Seen(
            asked=self.asked,
            ran=[ran for instance in instances for ran in instance.ran],
            reached=[reached for instance in instances for reached in instance.reached],
            draining_ms=self.listing.draining_ms,
        )


def play_fleet(scene: Callable[[StandInFleet], Awaitable[None]], seed: int = 1) -> StandInFleet:
    """Play a scene in virtual time; the fleet holds the histories afterwards."""

    async def run() -> StandInFleet:
        with tempfile.TemporaryDirectory() as folder:
            async with anyio.create_task_group() as group:
                fleet = StandInFleet(seed, group, Path(folder))
                await scene(fleet)
                group.cancel_scope.cancel()
        return fleet

    return in_virtual_time(run, seed)
