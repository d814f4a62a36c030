"""A calm night of few requests, and a route that is added late: how often it is served, against the first route.

``TROUBLE=0`` adds it after 25 s instead of 85 s and is the same otherwise: the calm is all the trouble there is.
"""

import os
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand"))

from callers import Answer, Front, Operator, call, document, in_background, is_ready, route  # noqa: E402
from fleet import BOUNDS, Fleet, now, play, wait_until  # noqa: E402
from runners import Platform  # noqa: E402

CALM_S = 25.0 if os.environ.get("TROUBLE", "1") == "0" else 85.0
HOST, SERVICE, EDGES = "desk.example", "s-one", 6
LATE = 40  # requests on the route that is added late
CHANCE = random.Random(1)


def main(fleet: Fleet) -> int:
    platform, operator = Platform(fleet), Operator(fleet)
    for _ in range(3):
        platform.add(SERVICE)
    for at, zone in enumerate(("zone-a", "zone-b", "zone-c"), 1):
        fleet.add(f"core-{at}", zone, core=True)
    for at in range(EDGES):
        fleet.add(f"edge-{at + 1}", "zone-a", core=False)
    fleet.start([each.ip for each in fleet.cores()])
    first = [route("r-first", HOST, "/first/", SERVICE, max_attempts=2)]
    if operator.order("PUT", document(1, first, [SERVICE]), 0, 30)[0] != 200:
        return 2
    if not wait_until(lambda: all(is_ready(each) for each in fleet.edges()), 20):
        return 2
    front, began = Front(fleet), now()

    def ask(path: str, into: list[Answer]) -> None:
        into.append(call(fleet, front.pick(CHANCE), HOST, path))

    early, late = list[Answer](), list[Answer]()
    while now() - began < CALM_S:
        in_background(ask, "/first/q", early)
        time.sleep(0.5)
    fleet.note(f"the platform finds ready: {sorted(front.ready)}")
    added = [*first, route("r-late", HOST, "/late/", SERVICE, max_attempts=2)]
    if operator.order("PUT", document(2, added, [SERVICE]), 1, 10)[0] != 200:
        return 2
    time.sleep(BOUNDS["config_apply_ms"] / 1000 + 0.5)
    clients = []
    for _ in range(LATE):
        clients.append(in_background(ask, "/late/q", late))
        time.sleep(0.25)
    for each in clients:
        each.join()
    shares = [sum(each.status == 200 for each in asked) / len(asked) for asked in (early, late)]
    fleet.note(f"first route: {shares[0]:.3f} of {len(early)} served; late route: {shares[1]:.3f} of {len(late)}")
    fleet.note(f"the platform finds ready: {sorted(front.ready)}; listed as ready are {len(platform.runners)} runners")
    return 1 if shares[1] < shares[0] / 4 else 0


if __name__ == "__main__":
    play(HERE / "record.txt", {"machines": 1, "zones": 0, "regions": 0}, main)
