"""Each check of a fleet's history on the platform finds what it is there for, and nothing in a sound history."""

import copy

import pytest

from finchswitch.platform.stand_in import Ran, Reached
from finchswitch.platform.stand_in_checks import CHECKS, Seen, judge, not_whole
from finchswitch.platform.stand_in_clients import Asked
from finchswitch.platform.stand_in_documents import RESUMED, UNSAFE


def asked(attempt, route, instances, **rest):
    got = [(number, attempt, number, instance) for number, instance in enumerate(instances, 1)]
    headers = {"x-attempt-id": attempt, "x-server-seal": f"{instances[0]}.{attempt}"}
    return Asked(attempt, route, "n", len(instances), 0.0, b"b", 200, headers, got, **{"whole": True, **rest})


def ran(attempt, route, instance, after=0):
    words = ("POST", f"{route['path_prefix']}2f?q={attempt}", b"b")
    return Ran(attempt, instance, f"{instance}.{attempt}", 10.0, words, after)


SOUND = Seen(
    asked=[asked("u", UNSAFE, ["i", "i", "i"]), asked("r", RESUMED, ["i", "i", "j"])],
    ran=[ran("u", UNSAFE, "i"), ran("r", RESUMED, "i"), ran("r", RESUMED, "j", 2)],
    reached=[Reached("u", "i", 10.0, 200), Reached("r", "i", 10.0, 200), Reached("r", "j", 20.0, 200)],
    draining_ms={"i": 0.0},
)


def missing(seen):
    del seen.asked[0].got[1]


def doubled(seen):
    seen.asked[1].got.insert(1, seen.asked[1].got[1])


def cut_and_called_whole(seen):
    seen.asked[0].got.pop()


def of_another(seen):
    seen.asked[0].got[1] = (2, "r", 2, "i")


def joined(seen):
    seen.asked[0].got[2] = (3, "u", 3, "j")


def of_a_later_head(seen):
    seen.asked[1].headers["x-server-seal"] = "j.r"


def without_a_seal(seen):
    del seen.asked[0].headers["x-server-seal"]


def under_another_id(seen):
    seen.asked[0].headers["x-attempt-id"] = "r"


def twice(seen):
    seen.ran.append(ran("u", UNSAFE, "j"))


def never_sent(seen):
    seen.ran.append(ran("x", UNSAFE, "j"))


def with_another_body(seen):
    seen.ran[0].words = (*seen.ran[0].words[:2], b"c")


def promised(seen):
    seen.asked[0].status = 503


def late(seen):
    seen.reached.append(Reached("z", "i", 3_001.0, 200))


def often(seen):
    seen.reached += [Reached("u", "i", 30.0 + at, 503) for at in range(53)]


BREACHES = {
    "torn": [
        *(missing, doubled, cut_and_called_whole, of_another, joined, of_a_later_head, without_a_seal),
        under_another_id,
    ],
    "run_twice": [twice],
    "unasked": [never_sent, with_another_body],
    "refused_but_run": [promised],
    "late_at_draining": [late],
    "over_budget": [often],
}


def test_a_sound_history_breaks_nothing_and_each_check_is_tried():
    assert judge(SOUND) == {} and not_whole(SOUND, "r-unsafe", "r-resumed") == []
    assert {check.__name__ for check in CHECKS} == set(BREACHES)


@pytest.mark.parametrize("name, breach", [(name, each) for name, breaches in BREACHES.items() for each in breaches])
def test_a_breach_is_found(name, breach):
    seen = copy.deepcopy(SOUND)
    breach(seen)
    assert set(judge(seen)) == {name}


def test_what_is_allowed_is_not_called_a_breach():
    seen = copy.deepcopy(SOUND)
    seen.reached += [Reached("z", "i", 3_001.0, 421), Reached("y", "i", 2_999.0, 200), Reached("w", "j", 9e9, 200)]
    seen.asked[0].whole, seen.asked[0].got = False, seen.asked[0].got[:2]
    assert judge(seen) == {}
    assert not_whole(seen, "r-unsafe", "r-resumed") == [("u", 200, "")]
    assert not_whole(seen, "r-resumed") == []
