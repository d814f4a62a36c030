"""Every checker is shown a history that must fail, and one that must not."""

import pytest

from finchswitch.simulation.checkers import CHECKERS, judge
from finchswitch.simulation.history import (
    Arrival,
    Call,
    Change,
    DialSeen,
    Fault,
    History,
    ListEvent,
    Read,
    RunSeen,
    Sight,
)


def whole_call(number=1, **changed):
    name = f"c{number}"
    call = Call(name, "m", False, "t1", 1000.0 * number, 200, "complete", 1, "r", "r-i1", "home")
    call.first_ms, call.end_ms, call.done = call.asked_ms + 10, call.asked_ms + 50, True
    call.pieces, call.numbers = [f"{name}:r-i1:1 ", f"{name}:r-i1:2 "], [1, 2]
    for field, value in changed.items():
        setattr(call, field, value)
    return call


def run_of(call, **changed):
    run = RunSeen(call.request_id, "r", "r-i1", call.asked_ms + 1, pieces=2, whole=True, service=call.service)
    for field, value in changed.items():
        setattr(run, field, value)
    return run


def history_of(*calls, runs=None, **rest):
    runs = [run_of(call) for call in calls] if runs is None else runs
    return History(calls=list(calls), runs=runs, allowed={"r-i1"}, **rest)


def change_of(name, base, status, generation, answered_ms=0.0):
    return Change(name, base, answered_ms - 100, status, generation, answered_ms, mark=name)


ONE = whole_call()
BAD = {
    "runs-twice": history_of(ONE, runs=[run_of(ONE), run_of(ONE)]),
    "not-run-yet-run": history_of(whole_call(outcome="not-run", pieces=[], numbers=[], done=False), runs=[run_of(ONE)]),
    "pieces-whole": history_of(whole_call(pieces=["c1:r-i1:1 ", "c1:r-i2:2 "])),
    "only-allowed": history_of(ONE, runs=[run_of(ONE), run_of(whole_call(2), incarnation="stranger")]),
    "leaving-left-alone": history_of(whole_call(9), listed=[ListEvent("r-i1", "leaving", 2_000.0)]),
    "acknowledged-in-effect": history_of(whole_call(9), changes=[change_of("x", 1, 200, 2, 5_000.0)]),
    "never-back": history_of(whole_call(1, generation=2), whole_call(2, generation=1)),
    "changes-exclusive": History(changes=[change_of("x", 1, 200, 2), change_of("y", 1, 202, 3)]),
    "reads-current": History(changes=[change_of("x", 1, 200, 2, 100.0)], reads=[Read(200.0, 1)]),
    "operators-linearizable": History(changes=[change_of("x", 0, 409, 0, 100.0)]),
    "refused-without-effect": History(changes=[change_of("x", 1, 409, -1)], marks=[("t1", 2, "x")]),
    "planned-cuts-nothing": history_of(whole_call(done=False, outcome="unknown")),
    "tries-within": history_of(*(whole_call(n) for n in range(1, 9)), runs=[run_of(ONE) for _ in range(40)]),
    "refusals-tell-when": history_of(whole_call(status=429, pieces=[], numbers=[], done=False, outcome=""), runs=[]),
}


def binding(name, base, sent_ms, runners, status=200):
    content = {"edits": [{"kind": "bindings", "name": "b", "value": {"service": "m", "runners": runners}}]}
    return Change(name, base, sent_ms, status, base + 1, sent_ms + 100, content=content)


EIGHT = [whole_call(n) for n in range(1, 9)]
# What an eye that is too weak lets pass: name of the checker, and a history that it must not excuse.
BLIND = {
    "a run of a service on a runner that is another's": (
        "only-allowed",
        history_of(ONE, changes=[binding("x", 1, 0.0, ["s"])]),
    ),
    "a run before its change was sent": ("only-allowed", history_of(ONE, changes=[binding("x", 1, 5_000.0, ["r"])])),
    "a run before it was listed": ("only-allowed", history_of(ONE, listed=[ListEvent("r-i1", "listed", 2_000.0)])),
    "a run long after it was unbound": (
        "acknowledged-in-effect",
        history_of(whole_call(9), changes=[binding("x", 1, 0.0, ["r"]), binding("y", 2, 500.0, ["s"])]),
    ),
    "a ready node behind, without a call": (
        "acknowledged-in-effect",
        History(changes=[change_of("x", 1, 200, 2, 100.0)], sights=[Sight("t1", 2_200.0, 2_201.0, 1)]),
    ),
    "a ready node that falls back, without a call": (
        "never-back",
        History(sights=[Sight("t1", 0.0, 10.0, 2), Sight("t1", 300.0, 310.0, 1)]),
    ),
    "a stream cut long after its runner was mended": (
        "planned-cuts-nothing",
        history_of(whole_call(9, done=False), faults=[Fault("r-i1", 100.0, 200.0), Fault("t1", 20_000.0)]),
    ),
    "refused tries": (
        "tries-within",
        history_of(*EIGHT, refusals=[Arrival("c1", "r-i1", 1_000.0 + n) for n in range(40)]),
    ),
    "failed connections": (
        "tries-within",
        history_of(*EIGHT, dials=[DialSeen("t1", "r", 1_000.0 + n) for n in range(40)]),
    ),
    "connections for one request": (
        "tries-within",
        history_of(*EIGHT, dials=[DialSeen("t1", "r", 1_000.0 + n, "request", "c1") for n in range(40)]),
    ),
}


@pytest.mark.parametrize("what", BLIND)
def test_checker_is_not_blind_to(what):
    name, history = BLIND[what]
    assert CHECKERS[name](history) != []


def test_what_is_excused():
    cut = whole_call(9, done=False)
    assert CHECKERS["planned-cuts-nothing"](history_of(cut, faults=[Fault("t1", 9_020.0, 9_020.0)])) == []
    assert CHECKERS["planned-cuts-nothing"](history_of(cut, faults=[Fault("r-i1", 100.0)])) == []
    again = [binding("x", 1, 0.0, ["r"]), binding("y", 2, 500.0, ["s"]), binding("z", 3, 8_000.0, ["r"], 504)]
    assert CHECKERS["acknowledged-in-effect"](history_of(whole_call(9, generation=4), changes=again)) == []
    waiting = [DialSeen("t1", "r", 1_000.0 + n, "vitals") for n in range(40)]
    assert CHECKERS["tries-within"](history_of(*EIGHT, dials=waiting)) == []


@pytest.mark.parametrize("name", CHECKERS)
def test_checker_finds_its_breach(name):
    assert CHECKERS[name](BAD[name]) != []


def test_a_sound_history_passes():
    changes = [change_of("w", 0, 200, 1), change_of("x", 1, 200, 2, 100.0), change_of("y", 1, 409, 2, 200.0)]
    calls = [whole_call(n, generation=2) for n in range(3, 6)]
    assert judge(history_of(*calls, changes=changes, marks=[("t1", 2, "w"), ("t1", 2, "x")])) == {}


def test_forgotten_and_looking_complete():
    forgotten = History(changes=[change_of("x", 1, 200, 2)], marks=[("t1", 2, "other")])
    assert CHECKERS["refused-without-effect"](forgotten) != []
    cut_short = history_of(ONE, runs=[run_of(ONE, whole=False)])
    assert CHECKERS["pieces-whole"](cut_short) != []
    gap = history_of(whole_call(numbers=[1, 3]))
    assert CHECKERS["pieces-whole"](gap) != []
