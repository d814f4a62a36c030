"""A routing node is stopped as planned while a sound runner pauses in its stream and the other one is full."""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig"))

from case import TROUBLE, play
from desk import Operator, document, route
from fleet import BOUNDS, CannotRun, Fleet, Record
from traffic import Client, Plan, Runner

STREAMS, EVENTS, PAUSE_AT = 12, 11, 4
PAUSE_MS = 1500.0 if TROUBLE else 0.0  # clients wait 2 s at least, four times the aim, or eight times the gap
PATIENCE_S = 2.0
DEADLINE_MS = 5000


async def scene(record: Record) -> list[str]:
    fleet = Fleet(record, edges=2)
    plan = Plan(events=EVENTS, gap_ms=60.0, pause_at=PAUSE_AT, pause_ms=PAUSE_MS)
    sound, full = (
        Runner(record, "i-1", plan_of=lambda _: plan),
        Runner(record, "i-2", plan_of=lambda _: Plan(events=EVENTS, gap_ms=60.0)),
    )
    try:
        for at, runner in enumerate((sound, full), start=1):
            await runner.serve(fleet.runner_host(at))
            fleet.put(runner.name, "desk-assist", fleet.runner_host(at), 64)
        await fleet.start_all()
        operator = Operator(fleet)
        routes = [route("r", "/q/", "desk-assist")]
        await operator.send("PUT", 0, json.dumps(document(3, routes, ["desk-assist"])).encode())
        await fleet.until_ready()
        await asyncio.sleep(BOUNDS["contact_ms"] / 1000)
        stopped, clients = fleet.edges[0], [Client(record, fleet.edges[0].host) for _ in range(STREAMS)]
        asks = [asyncio.create_task(each.ask("/q/counter", DEADLINE_MS, PATIENCE_S)) for each in clients]
        await asyncio.sleep(0.25)
        full.full = True  # from now on its places and its queue are taken by what other nodes sent
        stopped.signal(signal.SIGTERM)
        term_s = record.now()
        answers = await asyncio.gather(*asks)
        record(f"the last answer ended {max(each.end_s for each in answers) - term_s:.2f} s after SIGTERM")
    finally:
        fleet.end_all()
    ran = {attempt for attempt, _ in sound.runs}
    judged = [each for each in answers if each.attempt in ran]
    if not judged:
        raise CannotRun("no request reached the runner that pauses")
    return [
        f"LOST: {each.attempt} was passed on to a runner, and its connection ended {each.end_s - term_s:.2f} s after "
        f"SIGTERM behind event {each.events[-1] if each.events else 0} of {EVENTS}"
        for each in judged
        if not each.whole and each.end.startswith("the connection ended")
    ]


if __name__ == "__main__":
    play(__file__, scene)
