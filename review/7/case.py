"""The one control node of a small deployment is killed right after an acknowledgement and is back within a second."""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig"))

from case import TROUBLE, play
from desk import Operator, document, route
from fleet import BOUNDS, Fleet, Record
from traffic import Client, Plan, Runner

EDGES, SERVICES, DOWN_S, CALLS_S = 4, 8, 0.9, 6.0


async def _call(record: Record, host: str, path: str, until_s: float) -> None:
    client = Client(record, host)
    while record.now() < until_s:
        try:
            await client.ask(path, 5000, 2.0)
        except OSError:
            client.close()
            await asyncio.sleep(0.3)
    client.close()


async def scene(record: Record) -> list[str]:
    fleet = Fleet(record, edges=EDGES, cores=1, tolerance=0)
    services = [f"desk-{at}" for at in range(SERVICES)]
    plan = Plan(first_ms=40, gap_ms=10)
    try:
        for at, service in enumerate(services, start=1):
            await Runner(record, f"i-{at}", plan_of=lambda _: plan).serve(fleet.runner_host(at))
            fleet.put(f"i-{at}", service, fleet.runner_host(at), 64)
        await fleet.start_all()
        operator, (core,) = Operator(fleet), fleet.cores
        await operator.send("PUT", 0, json.dumps(document(3, [route("r", "/q/", services[0])], services[:1])).encode())
        await fleet.until_ready()
        await asyncio.sleep(BOUNDS["contact_ms"] / 1000)
        routes = [route(f"r{at}", f"/q{at}/", service) for at, service in enumerate(services)]
        await operator.send("PUT", 3, json.dumps(document(5, routes, services)).encode())
        if TROUBLE:
            core.signal(signal.SIGKILL)
            core.process.wait()
        until_s = record.now() + CALLS_S
        calls = [
            asyncio.create_task(_call(record, edge.host, f"/q{at}/counter", until_s))
            for edge in fleet.edges
            for at in range(SERVICES)
        ]
        await asyncio.sleep(DOWN_S)
        if TROUBLE:
            core.start()
        await asyncio.gather(*calls)
        ended = [(edge.name, edge.code(), edge.log_tail(2)[0].strip(" |+-")) for edge in fleet.edges]
    finally:
        fleet.end_all()
    alone = [each for each in ended if each[1] is not None]
    for name, code, why in alone:
        record(f"{name} ended by itself with code {code}: {why}")
    if len(alone) >= 3:  # on a tenth of the machines in use, two at least
        return [f"Fault: {len(alone)} ends of processes without trouble there, on {len(alone)} machines of {EDGES + 1}"]
    return []


if __name__ == "__main__":
    play(__file__, scene)
