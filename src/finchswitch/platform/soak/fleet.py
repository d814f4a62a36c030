"""The fleet of a soak: machines of its own loopback addresses, stand-in runners, the platform's list, the operators."""

import signal
import socket
from pathlib import Path
from random import Random
from typing import Any

import anyio
import httpx
from anyio.abc import TaskGroup

from finchswitch.errors import ErrorKind, FleetError
from finchswitch.platform.soak.clients import Request
from finchswitch.platform.soak.machines import Life, Machine
from finchswitch.platform.soak.plan import EVENT_MS, Plan
from finchswitch.platform.stand_in import StandInInstance, time_ms
from finchswitch.platform.stand_in_clients import Gate, Sent, send_change
from finchswitch.platform.stand_in_documents import SERVICE
from finchswitch.platform.stand_in_list import StandInList
from finchswitch.platform.stand_in_settings import FRONT_PORT, Place
from finchswitch.transport.real import RealWorld

__all__ = ["SoakFleet"]

LIST_PORT, RUNNER_PORT, LOCK_PORT = 8001, 9000, 7999
_ZONES = ("hill", "lake")
_SLOTS = 64
_LOOK_MS = 20.0
_RESTART_MS = (100.0, 1_200.0)  # a process that ended is started again after a time between these
_EARLY_SHARE = 0.5  # of the starts, that get a SIGHUP as soon as a handler is there
_FIRST_NET, _LAST_NET = 20, 120  # second numbers of 127.x, one for each soak under way on this machine


def take_net() -> tuple[int, socket.socket]:
    """A free range of loopback addresses and the socket that keeps it; raises a ``FleetError`` if none is free."""
    for net in range(_FIRST_NET, _LAST_NET):
        keeper = socket.socket()
        try:
            keeper.bind((f"127.{net}.0.1", LOCK_PORT))
            return net, keeper
        except OSError:
            keeper.close()
    raise FleetError(ErrorKind.REFUSED, "soak", "127.0.0.0/8", "no free range of addresses")


class SoakFleet:
    def __init__(self, plan: Plan, folder: Path, group: TaskGroup, net: int) -> None:
        self.plan, self.chance, self.group = plan, Random(plan.seed), group
        self.world = RealWorld(plan.seed)
        self.listing, self.instances = StandInList(per_s=400.0, page=50), dict[str, StandInInstance]()
        self.requests: list[Request] = []
        self.changes: list[Sent] = []
        self.events: list[tuple[float, str]] = []
        self._net, self._runners, self._first_start, self._is_over = net, 0, True, False
        self.machines = {
            place.name: Machine(place, folder, f"127.{net}.0.2:{LIST_PORT}") for place in self._places(folder)
        }
        doors = {each.place.name: (f"{each.place.host}:{FRONT_PORT}", each.place.zone) for each in self.edges()}
        self.desk = Gate(self.world, doors)

    def _places(self, folder: Path) -> list[Place]:
        bounds = {"grace_s": self.plan.grace_s}
        places = []
        for at in range(1, self.plan.cores + 1):
            name = f"core{at}"
            places.append(Place(name, f"127.{self._net}.9.{at}", "core", False, str(folder / name), bounds))
        for at in range(1, self.plan.edges + 1):
            host = f"127.{self._net}.1.{at}"
            places.append(Place(f"edge{at}", host, _ZONES[at % len(_ZONES)], True, bounds=bounds))
        return places

    def edges(self) -> list[Machine]:
        return [each for each in self.machines.values() if each.place.is_edge]

    def cores(self) -> list[Machine]:
        return [each for each in self.machines.values() if not each.place.is_edge]

    def note(self, text: str) -> None:
        self.events.append((time_ms(), text))

    async def open_up(self, document: dict[str, Any], most_ms: float) -> bool:
        """Start everything and have the first configuration taken; whether all nodes became ready in time."""
        await self._serve(self.listing.app(), f"127.{self._net}.0.2:{LIST_PORT}")
        for _ in range(self.plan.runners):
            await self.start_runner()
        for machine in self.machines.values():
            self.start(machine)
        self._first_start = False
        self.group.start_soon(self._keep_running)
        self.group.start_soon(self.desk.look)
        await self.operate(Sent("PUT", 0, document), patience=60)
        return await self.until_ready(most_ms)

    async def _serve(self, app: Any, address: str) -> None:
        self.group.start_soon(self.world.serve_http, app, address, anyio.Event())

    async def start_runner(self) -> str:
        self._runners += 1
        name, host = f"runner{self._runners}", f"127.{self._net}.2.{self._runners}"
        self.instances[name] = StandInInstance(self.world, SERVICE, name, _SLOTS, event_ms=EVENT_MS)
        await self._serve(self.instances[name], f"{host}:{RUNNER_PORT}")
        self.listing.put(name, SERVICE, f"{host}:{RUNNER_PORT}", _SLOTS)
        return name

    async def until_ready(self, most_ms: float) -> bool:
        """Whether every routing node became ready in time."""
        began_ms = time_ms()
        while not all(self.desk.ready.get(each.place.name) for each in self.edges()):
            if time_ms() - began_ms > most_ms:
                return False
            await self.world.sleep(_LOOK_MS)
        return True

    def seeds(self) -> list[str]:
        hosts = [each.place.host for each in self.cores()]
        return self.chance.sample(hosts, min(3, len(hosts)))

    def start(self, machine: Machine) -> None:
        seeds = [each.place.host for each in self.cores()[:3]] if self._first_start else self.seeds()
        machine.write_settings(seeds, self._first_start)
        machine.start()

    async def _keep_running(self) -> None:
        """Whatever ends is started again a little later, as the platform does."""
        while not self._is_over:
            for machine in self.machines.values():
                if machine.look():
                    self.note(f"{machine.place.name} ended, code {machine.lives[-1].code}")
                    self.group.start_soon(self._restart, machine)
            await self.world.sleep(_LOOK_MS)

    async def _restart(self, machine: Machine) -> None:
        await self.world.sleep(self.chance.uniform(*_RESTART_MS))
        if self._is_over:
            return
        self.start(machine)
        if self.chance.random() < _EARLY_SHARE:
            while not self.signal(machine, signal.SIGHUP) and machine.running:
                await self.world.sleep(_LOOK_MS)

    def signal(self, machine: Machine, number: signal.Signals) -> bool:
        sent = machine.send(number)
        if sent:
            self.note(f"{machine.place.name} gets {number.name}")
        return sent

    def stop(self, machine: Machine) -> Life | None:
        """SIGTERM, and SIGKILL after the grace time, as the platform does; None where that cannot be sent now."""
        if not self.signal(machine, signal.SIGTERM):
            return None
        self.group.start_soon(self._kill_late, machine, machine.lives[-1])
        return machine.lives[-1]

    async def _kill_late(self, machine: Machine, life: Life) -> None:
        await self.world.sleep(1000 * self.plan.grace_s)
        if machine.running and machine.lives[-1] is life:
            self.signal(machine, signal.SIGKILL)

    async def operate(self, sent: Sent, patience: int = 12) -> Sent:
        """Send a change until it has a clear answer."""
        self.changes.append(sent)
        desks = [f"{each.place.host}:{FRONT_PORT}" for each in self.cores()]
        self.chance.shuffle(desks)
        async with httpx.AsyncClient(trust_env=False) as client:
            await send_change(client, desks, sent, patience)
        return sent

    async def read_back(self, most_ms: float) -> dict[str, Any]:
        """The newest configuration, asked for again and again; empty if no node tells it in time."""
        until_ms = time_ms() + most_ms
        async with httpx.AsyncClient(trust_env=False) as client:
            while time_ms() < until_ms:
                for machine in self.chance.sample(self.cores(), self.plan.cores):
                    url = f"http://{machine.place.host}:{FRONT_PORT}/api/configuration"
                    try:
                        answer = await client.get(url, timeout=1.0)
                    except httpx.HTTPError:
                        continue
                    if answer.status_code == 200:
                        return dict(answer.json())
                await self.world.sleep(100)
        return {}

    async def stop_all(self, most_ms: float) -> None:
        """Stop every process as planned, each with a SIGHUP behind it, and end what is left after that time."""
        self._is_over = True
        for machine in self.machines.values():
            self.signal(machine, signal.SIGTERM)
            self.signal(machine, signal.SIGHUP)
        until_ms = time_ms() + most_ms
        while time_ms() < until_ms and any(machine.running for machine in self.machines.values()):
            for machine in self.machines.values():
                machine.look()
            await self.world.sleep(_LOOK_MS)

    def end_all(self) -> None:
        for machine in self.machines.values():
            machine.end()
