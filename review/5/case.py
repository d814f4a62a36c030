"""Connections of one control machine are reset for a second, four times; what ends on the other machines is counted."""

import os
import signal
import sys
import time
from pathlib import Path as File

HERE = File(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand"))

from callers import Operator, document, in_background, is_ready, route  # noqa: E402
from fleet import INTERNAL, Fleet, play, wait_until  # noqa: E402
from proxy import Path  # noqa: E402
from runners import Platform  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, SERVICE = "desk.example", "s-one"
TIMES, RESET_S, CALM_S = 4, 1.0, 7.0


def main(fleet: Fleet) -> int:
    platform, operator = Platform(fleet), Operator(fleet)
    platform.add(SERVICE)
    for at, zone in enumerate(("zone-a", "zone-b", "zone-c"), 1):
        fleet.add(f"core-{at}", zone, core=True)
    for at in range(1, 3):
        fleet.add(f"edge-{at}", "zone-a", core=False)
    troubled, *others = fleet.cores()
    fleet.start([each.ip for each in fleet.cores()])
    routes = [route("r-one", HOST, "/one/", SERVICE)]
    if operator.order("PUT", document(1, routes, [SERVICE]), 0, 30)[0] != 200:
        return 2
    if not wait_until(lambda: all(is_ready(each) for each in fleet.edges()), 20):
        return 2
    paths = [Path(fleet.host(8, at), INTERNAL, each.ip) for at, each in enumerate(others, 1)]
    troubled.seeds = [troubled.ip, *(fleet.host(8, at) for at, _ in enumerate(others, 1))]
    troubled.settings(first=False)
    troubled.send(signal.SIGHUP)
    fleet.note(f"{troubled.name} reaches the others over a path of its own too")
    time.sleep(4.0)
    for _ in range(TIMES):
        if TROUBLE:
            fleet.note(f"connections of {troubled.name} on that path are reset for {RESET_S:g} s")
            for each in [in_background(path.trouble, RESET_S) for path in paths]:
                each.join()
        time.sleep(CALM_S)
    fleet.note(f"{sum(path.reset for path in paths)} ends of connections were reset")
    for each in fleet.machines:
        fleet.note(f"{each.name} ended by itself {len(each.own_ends)} times")
    often = [each for each in others if len(each.own_ends) >= 3]
    return 1 if 2 * len(often) >= len(fleet.cores()) else 0


if __name__ == "__main__":
    play(HERE / "record.txt", {"machines": 1, "zones": 0, "regions": 0}, main)
