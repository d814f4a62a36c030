"""The design's two rules, and what they give way to."""

from random import Random

import pytest

from finchswitch.affinity import (
    Beliefs,
    Burdens,
    Choices,
    Draws,
    Opening,
    Popularity,
    Seatable,
    Way,
    home_order,
    pick_hot,
)
from finchswitch.membership.digest import merged

RUNNERS = [Seatable(f"r{at}", f"r{at}-i1", 10, 1_000) for at in range(1, 6)]
NAMES = [each.runner for each in RUNNERS]


def opening(name, tokens=100):
    return Opening("m", name, tokens, 10)


@pytest.fixture
def parts():
    beliefs, burdens = Beliefs(), Burdens()
    return beliefs, burdens, Draws(beliefs, burdens, Random(3))


def draw(draws, prompt, hot=(), runners=RUNNERS, due_ms=5_000):
    return draws.draw(prompt, Choices(list(hot), list(runners), NAMES, 0.9), due_ms, 0.0)


def test_an_opening_that_is_not_hot_goes_to_its_home(parts):
    for at in range(40):
        drawn = draw(parts[2], opening(f"o{at}"))
        assert (drawn.runner.runner, drawn.way) == (home_order(f"o{at}", NAMES)[0], Way.HOME)


def test_a_hot_opening_goes_to_any_runner(parts):
    drawn = [draw(parts[2], opening("o"), hot=["o"]) for _ in range(200)]
    assert {each.runner.runner for each in drawn} == set(NAMES) and {each.way for each in drawn} == {Way.HOT}


def test_a_full_home_gives_way_to_the_next_and_to_few(parts):
    _, burdens, draws = parts
    order = home_order("o", NAMES)
    for at, name in enumerate(order[:3]):
        assert draw(draws, opening("o")).runner.runner == name
        assert draw(draws, opening("o")).way is (Way.HOME if at == 0 else Way.SPILL)
        for _ in range(9):
            burdens.take(object(), f"{name}-i1", 0, 0.0, 0.0)
    assert draw(draws, opening("o")).runner.runner in order[:3]


def test_a_home_that_is_gone_gives_way_and_takes_back(parts):
    order = home_order("o", NAMES)
    rest = [each for each in RUNNERS if each.runner != order[0]]
    drawn = draw(parts[2], opening("o"), runners=rest)
    assert (drawn.runner.runner, drawn.way) == (order[1], Way.SPILL)
    assert draw(parts[2], opening("o")).runner.runner == order[0]


def test_a_late_home_gives_way_to_a_timely_runner_or_nobody(parts):
    _, burdens, draws = parts
    home = home_order("o", NAMES)[0]
    burdens.take(object(), f"{home}-i1", 9_000, 1.0, 0.0)
    drawn = draw(draws, opening("o"), due_ms=1_000)
    assert drawn.way is Way.TIMELY and drawn.runner.runner != home
    for each in RUNNERS:
        burdens.take(object(), each.incarnation, 9_000, 1.0, 0.0)
    assert draw(draws, opening("o"), due_ms=1_000) is None


def test_prefill_counts_the_opening_only_where_it_is_not_believed(parts):
    beliefs, _, draws = parts
    home = home_order("o", NAMES)[0]
    assert draw(draws, opening("o", 3_000)).first_ms == pytest.approx(3_010)
    beliefs.answered(f"{home}-i1", "w1")
    beliefs.sent(f"{home}-i1", "o", 0.0)
    assert draw(draws, opening("o", 3_000)).first_ms == pytest.approx(10)
    beliefs.answered(f"{home}-i1", "w2")
    assert draw(draws, opening("o", 3_000)).first_ms == pytest.approx(3_010)


def test_a_runner_that_joins_takes_only_what_it_owns():
    digests = [f"o{at}" for at in range(300)]
    moved = [d for d in digests if home_order(d, NAMES)[0] != home_order(d, [*NAMES, "r6"])[0]]
    assert all(home_order(d, [*NAMES, "r6"])[0] == "r6" for d in moved) and 20 < len(moved) < 90


def test_openings_seen_once_do_not_push_out_a_hot_one():
    popularity = Popularity()
    for at in range(5_000):
        popularity.count("hot" if at % 3 == 0 else f"once-{at}", 10.0, at * 5.0)
    total, shares = popularity.top(3, 25_000.0)
    assert total > 1_000 and shares["hot"] == pytest.approx(10 / 15 * (1 - 0.5**5), rel=0.1)
    assert pick_hot(shares, [], 4, 0.4, 0.2) == ["hot"]


def test_a_late_report_is_discounted():
    burdens = Burdens()
    burdens.take(object(), "i", 0, 0.0, 0.0)
    burdens.report("i", 11.0, 0.0)
    assert burdens.seats("i", 1_000.0) == pytest.approx(6.0)
    assert burdens.seats("i", 9_000.0) == pytest.approx(1.0)


def test_waiting_behind_a_prefill_told_later_does_not_make_a_runner_look_slow():
    burdens = Burdens()
    burdens.take(object(), "i", 30, 0.125, 100.0)
    beat = {"heardMs": 300.0, "pace": {}, "burden": {"i": [1, [[250.0, 13_000]]]}}
    burdens.hear_peers([beat], 300.0)
    assert burdens.pace("i", 1_500.0) == 1.0
    assert burdens.backlog_ms("i", 0.125, 1_500.0) == pytest.approx(50 + 13_030 * 0.125 - 1_500)
    assert burdens.pace("i", 3_300.0) == pytest.approx(2.0, abs=0.01)


def test_a_runner_that_came_to_the_next_prompt_has_the_rest_before_it():
    burdens = Burdens()
    beat = {"heardMs": 100.0, "pace": {}, "burden": {"i": [2, [[100.0, 8_000], [20.0, 8_000]]]}}
    burdens.hear_peers([beat], 100.0)
    assert burdens.backlog_ms("i", 0.125, 900.0) == pytest.approx(1_100.0)
    later = {"heardMs": 1_100.0, "pace": {}, "burden": {"i": [1, [[1_020.0, 8_000]]]}}
    burdens.hear_peers([later], 1_100.0)
    assert burdens.backlog_ms("i", 0.125, 1_200.0) == pytest.approx(900.0)


def test_an_urgent_prompt_does_not_wait_for_the_prompts_of_less_urgent_ones(parts):
    """Runners let the urgent in first; counted behind two seconds of summaries all counter questions were refused."""
    _, burdens, draws = parts
    for each in RUNNERS:
        burdens.take(object(), each.incarnation, 2_000, 1.0, 0.0, rank=1)
    choices = Choices([], RUNNERS, NAMES, 0.9)
    assert draws.earliest(opening("o"), choices, 100.0, rank=0).first_ms < 200
    assert draws.earliest(opening("o"), choices, 100.0, rank=1).first_ms > 1_900
    assert draws.draw(opening("o"), choices, 1_000, 100.0) is None, "in time, it would go where nothing waits"
    for each in RUNNERS:
        burdens.take(object(), each.incarnation, 2_000, 1.0, 100.0, rank=0)
    assert draws.earliest(opening("o"), choices, 100.0, rank=0).first_ms > 1_900


def test_a_prompt_that_more_urgent_ones_overtook_does_not_show_a_slow_runner(parts):
    _, burdens, _ = parts
    summary, question = object(), object()
    burdens.take(summary, "i", 1_000, 1.0, 0.0, rank=1)
    burdens.take(question, "i", 100, 1.0, 500.0, rank=0)
    burdens.begun(question, "i", 600.0)
    assert burdens.pace("i", 600.0, rank=0) == 1.0
    burdens.begun(summary, "i", 9_000.0)
    assert burdens.pace("i", 9_000.0) == 1.0


def test_peers_tell_the_ranks_of_what_waits(parts):
    beliefs, burdens, draws = parts
    told = Burdens()
    for rank, tokens in ((1, 2_000), (0, 50), (1, 3_000)):
        told.take(object(), "r1-i1", tokens, 1.0, 0.0, rank=rank)
    word = {"burden": told.spoken(0.0), "ranks": told.spoken_ranks(), "counts": {}}
    for beat in (word, merged([word, {"burden": {"r1-i1": [1, [[0, 25]]]}, "counts": {}}])):
        burdens.hear_peers([{**beat, "pace": {}, "heardMs": 0.0}], 0.0)
        assert burdens.backlog_ms("r1-i1", 1.0, 0.0, rank=0) in (50.0, 75.0)
        assert burdens.backlog_ms("r1-i1", 1.0, 0.0) in (5_050.0, 5_075.0)
