"""The processes of a staged fleet: starting, stopping, killing, and finding them."""

import json
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import httpx

from finchswitch.constants import STAGE_HOST, STAGE_PORT
from finchswitch.simulation.deployments import Deployment
from finchswitch.simulation.history import Arrival, History, ListEvent, RunSeen
from finchswitch.transport import World

__all__ = ["Fleet"]


class Fleet:
    def __init__(self, deployment: Deployment, folder: Path, ports: int = STAGE_PORT) -> None:
        self.deployment, self._folder, self._ports = deployment, folder, ports
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        self._commands: dict[str, list[str]] = {}
        self._http: dict[str, tuple[str, str]] = {}
        self.incarnations: dict[str, str] = {}
        self.addresses: dict[str, str] = {}  # of every incarnation there ever was
        self._platform = self._next()
        self._plan()

    def _next(self) -> str:
        self._ports += 1
        return f"{STAGE_HOST}:{self._ports}"

    def _plan(self) -> None:
        self._commands["platform"] = ["stand-in", "platform", self._platform]
        cores = [f"accord{at}" for at in range(1, self.deployment.cores + 1)]
        seeds = [self._next() for _ in cores]
        seeding = [part for seed in seeds for part in ("--seed", seed)]
        for name, address in zip(cores, seeds, strict=True):
            self._http[name] = (self._next(), "core")
            place = ["--name", name, "--address", address, "--http", self._http[name][0], "--district", "core"]
            self._commands[name] = ["accord", *place, "--data", str(self._folder / name), *seeding]
        for at, district in enumerate(self.deployment.districts, 1):
            name = f"transit{at}"
            self._http[name] = (self._next(), district)
            place = ["--name", name, "--address", self._next(), "--http", self._http[name][0], "--district", district]
            self._commands[name] = ["transit", *place, "--platform", self._platform, *seeding]
        for name in [*self.deployment.runner_names(), *self.deployment.spare]:
            self.add_runner(name, f"{name}-i1")

    def add_runner(self, name: str, incarnation: str, address: str = "") -> None:
        """A runner's process to be started, under its incarnation; at an old address if one is given."""
        address = address or self._next()
        self.incarnations[name], self.addresses[incarnation] = incarnation, address
        history = ["--history", str(self._folder / f"{incarnation}.runs")]
        slots = ["--slots", str(self.deployment.slots)]
        self._commands[incarnation] = ["stand-in", "runner", name, incarnation, address, *slots, *history]

    def start(self, name: str) -> None:
        log = open(self._folder / f"{name}.log", "ab")  # noqa: SIM115
        command = [sys.executable, "-m", "finchswitch", *self._commands[name]]
        self._running[name] = subprocess.Popen(command, stdout=log, stderr=log)
        log.close()

    def start_all(self) -> None:
        for name in self._commands:
            self.start(name)

    def signal(self, name: str, number: signal.Signals) -> None:
        self._running[name].send_signal(number)
        if number == signal.SIGKILL:
            self._running.pop(name).wait()

    def running(self) -> list[str]:
        return list(self._running)

    async def stop_softly(self, name: str, world: World) -> None:
        """SIGTERM, then wait for the process to end by itself."""
        process = self._running.pop(name)
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            await world.sleep(50)

    def stop_all(self) -> None:
        for process in self._running.values():
            process.send_signal(signal.SIGTERM)
        for process in self._running.values():
            try:
                process.wait(15)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._running.clear()

    def doors(self) -> dict[str, tuple[str, str]]:
        return {name: place for name, place in self._http.items() if name.startswith("transit")}

    def control_nodes(self) -> list[str]:
        return [name for name in self._http if name.startswith("accord")]

    def running_controls(self) -> list[str]:
        return [name for name in self.control_nodes() if name in self._running]

    def http_address(self, name: str) -> str:
        return self._http[name][0]

    async def founded(self, client: httpx.AsyncClient) -> bool:
        try:
            for name in self.running_controls():
                if (await client.get(f"http://{self.http_address(name)}/ready")).status_code != 200:
                    return False
        except httpx.HTTPError:
            return False
        return True

    async def list_runners(self, client: httpx.AsyncClient, history: History, world: World) -> None:
        for name, incarnation in self.incarnations.items():
            await self.tell(client, history, world, "list", name, incarnation)

    async def tell(
        self, client: httpx.AsyncClient, history: History, world: World, act: str, name: str, incarnation: str
    ) -> None:
        """Have the platform list a runner, show it leaving, or remove it."""
        body = {"act": act, "runner": name, "incarnation": incarnation, "address": self.addresses[incarnation]}
        what = {"list": "listed", "leave": "leaving", "remove": "removed"}[act]
        history.listed.append(ListEvent(incarnation, what, world.now_ms()))
        for _ in range(200):
            try:
                await client.post(f"http://{self._platform}/stand-in", json=body)
                return
            except httpx.HTTPError:
                await world.sleep(50)

    async def vitals(self, client: httpx.AsyncClient) -> dict[str, Any]:
        shown: dict[str, Any] = {}
        for name, (address, _) in self.doors().items():
            try:
                shown[name] = (await client.get(f"http://{address}/vitals")).json()
            except httpx.HTTPError as error:
                shown[name] = repr(error)
        return shown

    def read_runs(self, history: History) -> None:
        """What the runners wrote down; a run's later line says more than its first."""
        runs: dict[tuple[str, str, float], RunSeen] = {}
        for incarnation in self.addresses:
            file = self._folder / f"{incarnation}.runs"
            for line in file.read_text().splitlines() if file.exists() else []:
                row = json.loads(line)
                if "refused" in row:
                    history.refusals.append(Arrival(row["refused"], row["incarnation"], row["at_ms"]))
                else:
                    runs[row["request_id"], incarnation, row["at_ms"]] = RunSeen(**row)
        history.runs = list(runs.values())
