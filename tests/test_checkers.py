"""Every checker is shown a history that must fail, and one that must not."""

import pytest

from finchswitch.rehearsal.checkers import CHECKERS, judge
from finchswitch.rehearsal.history import Call, Change, History, ListEvent, Read, RunSeen


def whole_call(number=1, **changed):
    name = f"c{number}"
    call = Call(name, "m", False, "t1", 1000.0 * number, 200, "complete", 1, "r", "r-i1", "home")
    call.firstMs, call.endMs, call.done = call.askedMs + 10, call.askedMs + 50, True
    call.pieces, call.numbers = [f"{name}:r-i1:1 ", f"{name}:r-i1:2 "], [1, 2]
    for field, value in changed.items():
        setattr(call, field, value)
    return call


def run_of(call, **changed):
    run = RunSeen(call.requestId, "r", "r-i1", call.askedMs + 1, pieces=2, whole=True)
    for field, value in changed.items():
        setattr(run, field, value)
    return run


def history_of(*calls, runs=None, **rest):
    runs = [run_of(call) for call in calls] if runs is None else runs
    return History(calls=list(calls), runs=runs, allowed={"r-i1"}, **rest)


def change_of(name, base, status, generation, answeredMs=0.0):
    return Change(name, base, answeredMs - 100, status, generation, answeredMs, mark=name)


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
    "refused-without-effect": History(changes=[change_of("x", 1, 409, -1)], marks=[("t1", 2, "x")]),
    "planned-cuts-nothing": history_of(whole_call(done=False, outcome="unknown")),
    "tries-within": history_of(*(whole_call(n) for n in range(1, 9)), runs=[run_of(ONE) for _ in range(40)]),
    "refusals-tell-when": history_of(whole_call(status=429, pieces=[], numbers=[], done=False, outcome=""), runs=[]),
}


@pytest.mark.parametrize("name", CHECKERS)
def test_checker_finds_its_breach(name):
    assert CHECKERS[name](BAD[name]) != []


def test_a_sound_history_passes():
    changes = [change_of("x", 1, 200, 2, 100.0), change_of("y", 2, 409, -1, 200.0)]
    calls = [whole_call(n, generation=2) for n in range(3, 6)]
    assert judge(history_of(*calls, changes=changes, marks=[("t1", 2, "x")])) == {}


def test_forgotten_and_looking_complete():
    forgotten = History(changes=[change_of("x", 1, 200, 2)], marks=[("t1", 2, "other")])
    assert CHECKERS["refused-without-effect"](forgotten) != []
    cut_short = history_of(ONE, runs=[run_of(ONE, whole=False)])
    assert CHECKERS["pieces-whole"](cut_short) != []
    gap = history_of(whole_call(numbers=[1, 3]))
    assert CHECKERS["pieces-whole"](gap) != []
