"""Stand-in callers: open-loop arrivals, each request written down as its caller saw it.

Arrivals do not wait for answers. The platform's part, handing a caller to a ready node in its district, is played
by ``Desk``, which looks at each node's readiness as the platform would.
"""

import json
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpx
from httpx_sse import EventSource

from finchswitch.constants import CALLER_WAIT_S, LOOK_MS
from finchswitch.simulation.deployments import Traffic
from finchswitch.simulation.history import Call, History, Sight
from finchswitch.transport import World

__all__ = ["Calling", "Desk", "call_once", "call_openly"]


@dataclass
class Desk:
    """The platform's view of which nodes are ready."""

    world: World
    nodes: dict[str, tuple[str, str]]  # name: (http address, district)
    ready: dict[str, bool] = field(default_factory=dict)
    sights: list[Sight] = field(default_factory=list)  # the generation of each ready node, as often as it is looked at

    async def look(self) -> None:
        async with httpx.AsyncClient(transport=self.world.http_transport(), trust_env=False) as client:
            while True:
                async with anyio.create_task_group() as group:
                    for name in list(self.nodes):
                        group.start_soon(self._look_at, client, name)
                await self.world.sleep(LOOK_MS)

    async def _look_at(self, client: httpx.AsyncClient, name: str) -> None:
        asked_ms = self.world.now_ms()
        try:
            response = await client.get(f"http://{self.nodes[name][0]}/ready", timeout=LOOK_MS / 1000)
            self.ready[name] = response.status_code == 200
            if self.ready[name]:
                self.sights.append(Sight(name, asked_ms, self.world.now_ms(), response.json()["generation"]))
        except httpx.HTTPError:
            self.ready[name] = False

    def hand(self, district: str) -> str | None:
        """A ready node in the district, or any ready one."""
        ready = [name for name in self.nodes if self.ready.get(name)]
        near = [name for name in ready if self.nodes[name][1] == district]
        return self.world.chance.choice(near or ready) if ready else None


@dataclass
class Calling:
    """One service's callers, and how often each comes back when it is told to."""

    world: World
    desk: Desk
    traffic: Traffic
    history: History
    client: httpx.AsyncClient
    group: Any
    tag: str = ""
    patience: int = 0


async def call_openly(calling: Calling, until_ms: float) -> None:
    """Call at the traffic's rate until the time; answers are awaited in tasks of the group."""
    world, traffic, at = calling.world, calling.traffic, 0
    districts = sorted({district for _, district in calling.desk.nodes.values()})
    while world.now_ms() < until_ms:
        await world.sleep(world.chance.expovariate(traffic.per_s) * 1000)
        at += 1
        body, district = traffic.body(world.chance, at), world.chance.choice(districts)
        calling.group.start_soon(_call_patiently, calling, f"{traffic.service}{calling.tag}-{at}", district, body)


async def _call_patiently(calling: Calling, request_id: str, district: str, body: dict[str, Any]) -> None:
    """One request; told that it was not run, its caller comes back when it was told to, under an id of its own."""
    world, traffic = calling.world, calling.traffic
    for again in range(calling.patience + 1):
        node = calling.desk.hand(district)
        name = f"{request_id}-again{again}" if again else request_id
        call = Call(name, traffic.service, traffic.repeatable, node or "", world.now_ms())
        calling.history.calls.append(call)
        if node is None:
            call.reason, call.retry_after_s = "no ready node", 1.0
        else:
            await call_once(world, calling.client, calling.desk.nodes[node][0], traffic, body, call)
            if call.outcome != "not-run":
                return
        if again < calling.patience:
            await world.sleep(1000 * max(1.0, call.retry_after_s))


async def call_once(
    world: World, client: httpx.AsyncClient, address: str, traffic: Traffic, body: dict[str, Any], call: Call
) -> None:
    """One call, to its end."""
    headers = {
        "x-request-id": call.request_id,
        "x-repeatable": "yes" if call.repeatable else "no",
        "x-due-ms": str(traffic.due_ms),
    }
    url = f"http://{address}/v1/chat/completions"
    try:
        async with client.stream("POST", url, json=body, headers=headers, timeout=CALLER_WAIT_S) as response:
            call.status = response.status_code
            call.outcome = response.headers.get("x-outcome", "")
            call.retry_after = "retry-after" in response.headers
            call.retry_after_s = float(response.headers.get("retry-after", 0))
            if response.status_code != 200:
                call.reason = (await response.aread()).decode()[:300]
                return
            call.generation = int(response.headers.get("x-generation", "-1"))
            call.runner = response.headers.get("x-runner", "")
            call.incarnation = response.headers.get("x-incarnation", "")
            call.way = response.headers.get("x-way", "")
            await _read(world, response, call)
    except httpx.HTTPError as error:
        call.reason = repr(error)
    finally:
        call.end_ms = world.now_ms()


async def _read(world: World, response: httpx.Response, call: Call) -> None:
    async for event in EventSource(response).aiter_sse():
        if call.first_ms < 0:
            call.first_ms = world.now_ms()
        if event.data == "[DONE]":
            call.done = True
            continue
        content = json.loads(event.data)
        if event.event == "error":
            call.outcome, call.reason = content["error"]["outcome"], content["error"]["message"]
            continue
        call.numbers.append(int(event.id))
        call.pieces.append(content["choices"][0]["delta"]["content"])
        call.outcome = content.get("outcome", call.outcome)
