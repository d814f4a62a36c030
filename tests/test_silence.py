"""What the first days on the users' platform broke: silence judged by one answer, a met peer taken for a heard one."""

from random import Random
from types import SimpleNamespace

import pytest

from finchswitch.affinity import Beliefs, Burdens, Choices, Draws, Opening, Seatable, Way, home_order
from finchswitch.distribution import NewsBook
from finchswitch.membership.member import Member
from finchswitch.router.dialect import Call
from finchswitch.router.watch import Watch


class Clock:
    def __init__(self):
        self.ms = 0.0

    def now_ms(self):
        return self.ms


class Scope:
    cancel_called = False

    def cancel(self):
        self.cancel_called = True


class Runner:
    """What the watch sees of a runner."""

    def __init__(self):
        self.runner, self.heard_ms, self.down_until_ms = "r", -1e18, 0.0

    def heard(self, now_ms):
        self.heard_ms = now_ms


class Watching:
    """A node as the watch sees it: its clock, what it doubts, and a budget of further tries."""

    def __init__(self, budget=1):
        self.world, self.budget, self.doubted = Clock(), budget, []
        self.roster = SimpleNamespace(suspect=self._suspect)

    def _suspect(self, known, why):
        known.down_until_ms = self.world.ms + 400
        self.doubted.append(known)

    def has_another_runner(self, call, tried):
        return True

    def may_try_again(self, service):
        self.budget -= 1
        return self.budget >= 0


def call(resumable=True):
    opening = Opening("s", "o", 100, 10)
    return Call("id", "s", False, opening, b"", due_ms=400.0, gap_ms=200.0, resumable=resumable, most_runners=2)


def awaiting(watched):
    """A try whose next piece is awaited."""
    watched.wait = Scope()
    return watched


def judged(node, watch):
    """One look, as the loop does it."""
    watch._judge(list(watch._tries), node.world.ms)


def test_an_answer_that_waits_at_a_runner_which_speaks_to_others_is_not_given_up():
    node, runner = Watching(), Runner()
    watch = Watch(node)
    waits = awaiting(watch.begin(runner, call(), 50.0))
    for at in range(40):
        node.world.ms = at * 100.0
        runner.heard(node.world.ms)
        judged(node, watch)
    assert not waits.given_up and not node.doubted and node.budget == 1


def test_a_silent_runner_is_doubted_and_a_resumable_answer_taken_from_it():
    node, runner = Watching(), Runner()
    watch = Watch(node)
    resumable, unsafe = (awaiting(watch.begin(runner, call(kind), 50.0)) for kind in (True, False))
    node.world.ms = 500.0
    judged(node, watch)
    assert not node.doubted
    node.world.ms = 700.0
    judged(node, watch)
    assert node.doubted == [runner]
    assert resumable.given_up and resumable.wait.cancel_called
    assert not unsafe.given_up and not unsafe.wait.cancel_called


def test_without_budget_a_silent_answer_waits_on():
    node = Watching(budget=0)
    watch = Watch(node)
    waits = awaiting(watch.begin(Runner(), call(), 50.0))
    node.world.ms = 5_000.0
    judged(node, watch)
    assert node.doubted and not waits.given_up


def test_a_peer_that_was_only_met_is_not_heard():
    clock = Clock()
    member = Member(clock, None, NewsBook(), {"name": "n1", "address": "10.0.0.1:1"}, ["10.0.0.9:1"])
    member.peers["n2"] = {"name": "n2", "address": "10.0.0.2:1", "burden": {}}  # met: it has beaten, not answered
    member._current_ms = clock.ms
    member._forget_silent()
    assert member.heard_peers() == []


@pytest.mark.parametrize("ahead_tokens, way", [(25_000, Way.HOME), (120_000, Way.TIMELY)])
def test_a_home_is_left_only_when_late_by_more_than_reading_the_opening_again_is_worth(ahead_tokens, way):
    beliefs, burdens = Beliefs(), Burdens()
    runners = [Seatable(f"r{at}", f"r{at}", 64, 0, "s") for at in range(4)]
    names = [each.runner for each in runners]
    draws, opening = Draws(beliefs, burdens, Random(1)), Opening("s", "o", 13_000, 1_000)
    home = home_order("o", names)[0]
    beliefs.sent(home, "o", 0.0, 13_000, 400_000)
    burdens.take(object(), home, ahead_tokens, 1 / 40, 0.0)
    drawn = draws.draw(opening, Choices([], runners, names, 0.9), 640.0, 0.0)
    assert drawn.way is way and (drawn.runner.runner == home) is (way is Way.HOME)
