"""What a soak must not have seen, judged after the fact by what callers, runners and processes went through."""

import math
import signal
from collections import Counter
from enum import Enum
from typing import Any

from finchswitch.platform.soak.clients import Outcome, Request
from finchswitch.platform.soak.fleet import SoakFleet
from finchswitch.platform.soak.machines import Life, Machine
from finchswitch.platform.soak.plan import Mix
from finchswitch.platform.stand_in_checks import Seen, judge
from finchswitch.platform.stand_in_documents import SERVICE

__all__ = ["Excuse", "breaches_of", "excuses", "not_in_force"]

CONTACT_MS = 3_000.0  # unplanned trouble excuses what is asked so long after it
LOSS_SLACK_MS = 300.0  # a request that crosses the close of its connection
LATE_SHARE = 5 / 6  # of the grace time: what is still at work after it may be cut
TAKEN_MS = 3_000.0  # only a request that was sent so soon after SIGTERM may be cut for its length
_UNPLANNED = (signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT)


def seen_of(fleet: SoakFleet) -> Seen:
    instances = fleet.instances.values()
    return Seen(
        asked=[each for each in fleet.requests if each.outcome is not Outcome.UNSENT],
        ran=[ran for instance in instances for ran in instance.ran],
        reached=[reached for instance in instances for reached in instance.reached],
        draining_ms=fleet.listing.draining_ms,
    )


def breaches_of(fleet: SoakFleet) -> dict[str, list[Any]]:
    """Every breach, by the name of its check."""
    seen = seen_of(fleet)
    found = judge(seen)
    found["ended by itself"] = [each for machine in fleet.machines.values() for each in _own_ends(machine)]
    found["overstayed its grace time"] = [
        each for machine in fleet.machines.values() for each in _overstays(fleet, machine)
    ]
    sent = [each for each in fleet.requests if each.outcome is not Outcome.UNSENT]
    reached = {each.attempt for each in seen.reached}
    lost = [each for each in sent if excuse_of(fleet, each, each.attempt in reached) is Excuse.NONE]
    found["neither answered nor refused"] = [describe(fleet, each, each.attempt in reached) for each in lost]
    found["failed"] = [describe(fleet, each, each.attempt in reached) for each in sent if _is_failed(fleet, each)]
    return {name: wrong for name, wrong in found.items() if wrong}


def describe(fleet: SoakFleet, request: Request, reached: bool) -> str:
    """One line on a request and the life of the process that took it."""
    life = life_of(fleet.machines[request.node], request.sent_ms)
    told = "no process"
    if life is not None:
        signals = [f"{number.name} {at_ms - request.sent_ms:+.0f}" for at_ms, number in life.signals]
        told = f"signals {signals}, ended {life.ended_ms - request.sent_ms:+.0f}, code {life.code}"
    way = "kept" if request.is_kept else "new"
    took_ms = request.end_ms - request.sent_ms
    return (
        f"{request.outcome.value} {request.status} {request.attempt} at {request.node} on a {way} connection, "
        f"{len(request.got)} of {request.events} events in {took_ms:.0f} ms, at a runner: {reached}; "
        f"{request.reason[:80]}; ms from its sending: {told}"
    )


def life_of(machine: Machine, at_ms: float) -> Life | None:
    """The life of the machine's process at that time; None where none ran."""
    return next((life for life in machine.lives if life.started_ms <= at_ms <= life.ended_ms), None)


def _own_ends(machine: Machine) -> list[str]:
    """Lives that ended otherwise than well by a planned stop or by our SIGKILL."""
    ended = [life for life in machine.lives if life.code is not None]
    wrong = [life for life in ended if not (life.code == 0 and life.stopped_ms <= life.ended_ms)]
    wrong = [
        life for life in wrong if not (life.code == -signal.SIGKILL and life.first(signal.SIGKILL) <= life.ended_ms)
    ]
    return [f"{machine.place.name} code {life.code}, {_told(life)}" for life in wrong]


def _overstays(fleet: SoakFleet, machine: Machine) -> list[str]:
    """Planned stops that took all of their grace time, with no freeze that would excuse it."""
    grace_ms = 1000.0 * fleet.plan.grace_s
    killed = [
        (life, life.first(signal.SIGKILL) - life.stopped_ms) for life in machine.lives if life.stopped_ms < math.inf
    ]
    late = [life for life, after_ms in killed if grace_ms <= after_ms < math.inf]
    return [f"{machine.place.name} {_told(life)}" for life in late if life.first(signal.SIGSTOP) == math.inf]


def _told(life: Life) -> str:
    signals = ", ".join(f"{number.name} at {at_ms - life.started_ms:.0f}" for at_ms, number in life.signals)
    return f"after {life.ended_ms - life.started_ms:.0f} ms: {signals or 'no signal'}"


class Excuse(Enum):
    """Why a request may have ended without an answer."""

    NO_PROCESS = "sent to no process"
    TROUBLE = "unplanned trouble"
    CROSSED = "crossed the close, not passed on"
    STOP_OVER = "still at work in the last sixth of the grace time"
    NONE = "none"


def excuse_of(fleet: SoakFleet, request: Request, reached: bool) -> Excuse | None:
    """What excuses a request that ended without an answer; None for one that was answered, refused or never sent."""
    if request.outcome not in (Outcome.SILENT, Outcome.BROKEN, Outcome.OVERDUE):
        return None
    life = life_of(fleet.machines[request.node], request.sent_ms)
    if life is None:
        return Excuse.NO_PROCESS
    if _is_troubled(fleet, request):
        return Excuse.TROUBLE
    if not reached and request.end_ms - request.sent_ms <= LOSS_SLACK_MS:
        return Excuse.CROSSED
    taken_in_time = request.sent_ms <= life.stopped_ms + TAKEN_MS
    is_late = request.end_ms >= life.stopped_ms + LATE_SHARE * 1000 * fleet.plan.grace_s
    return Excuse.STOP_OVER if taken_in_time and is_late else Excuse.NONE


def excuses(fleet: SoakFleet) -> dict[str, int]:
    """How many requests ended without an answer, by their excuse."""
    reached = {each.attempt for each in seen_of(fleet).reached}
    found = [excuse_of(fleet, each, each.attempt in reached) for each in fleet.requests]
    return dict(Counter(each.value for each in found if each is not None))


def _is_failed(fleet: SoakFleet, request: Request) -> bool:
    return request.outcome is Outcome.FAILED and not _is_troubled(fleet, request)


def _is_troubled(fleet: SoakFleet, request: Request) -> bool:
    """Whether anything unplanned happened from a while before the request to its end."""
    lives = [life for each in fleet.machines.values() for life in each.lives]
    troubles = [at_ms for life in lives for at_ms, number in life.signals if number in _UNPLANNED]
    if fleet.plan.mix is Mix.PLANNED:
        troubles = []  # a SIGKILL is then the end of a grace time, which excuses nothing
    return any(request.sent_ms - CONTACT_MS <= at_ms <= request.end_ms for at_ms in troubles)


def not_in_force(fleet: SoakFleet, read: dict[str, Any]) -> list[str]:
    """Acknowledged changes that the configuration that was read back does not hold."""
    acknowledged = [sent for sent in fleet.changes if sent.status == 200]
    newest = max((int(sent.document["revision"]) for sent in acknowledged), default=0)
    wrong = (
        [] if int(read.get("revision", -1)) >= newest else [f"revision {read.get('revision')}, {newest} acknowledged"]
    )
    names = {str(route["name"]) for route in read.get("routes", [])}
    wanted = {
        str(route["name"]) for sent in acknowledged for route in sent.document.get("upsert", {}).get("routes", [])
    }
    wrong += [f"route {name} is missing" for name in sorted(wanted - names)]
    bases = [sent.match for sent in acknowledged]
    wrong += [f"two changes on revision {base}" for base in sorted({base for base in bases if bases.count(base) > 1})]
    wrong += [] if any(each["name"] == SERVICE for each in read.get("services", [])) else ["the service is missing"]
    return wrong
