"""Guards of rounds, owners and orders taken out one by one: the search finds a schedule that breaks an invariant."""

import pytest

import finchswitch.checking.claim
import finchswitch.checking.model
import finchswitch.control.document
import finchswitch.control.judgement
import finchswitch.control.ownership
import finchswitch.control.replicas
import finchswitch.control.rounds
from finchswitch.checking.scenarios import SCENARIOS
from finchswitch.checking.search import Limits, search

ROUNDS = finchswitch.control.rounds


def one_vote_is_enough(patch):
    patch.setattr(ROUNDS, "majority", lambda yes, *groups: len(yes) >= 1)


def former_group_not_asked(patch):
    majority = ROUNDS.majority
    patch.setattr(ROUNDS, "majority", lambda yes, group, former: majority(yes, group))


def found_document_not_taken_up(patch):
    patch.setattr(ROUNDS.Election, "_consider", lambda self, document, ballot: None)


def no_accept_again(patch):
    start = ROUNDS.AcceptRound.start

    def won(self):
        requests = start(self)
        if self._first is self._whole:
            self.verdict = ROUNDS.Verdict.WON
        return requests

    patch.setattr(ROUNDS.AcceptRound, "start", won)


def refusal_without_a_majority(patch):
    claim = finchswitch.checking.claim

    def confirm(self, handler, effects):
        known = self.handlers.pop(handler)
        told = claim.Result.REFUSED if known.refuses else claim.Result.ACKNOWLEDGED
        effects.outcomes.append(claim.Outcome(handler, told, known.base))

    patch.setattr(claim.Claim, "_confirm", confirm)


def read_without_a_majority(patch):
    claim = finchswitch.checking.claim
    confirm = claim.Claim._confirm

    def trusting(self, handler, effects):
        if self.handlers[handler].change is not None:
            return confirm(self, handler, effects)
        known = self.handlers.pop(handler)
        effects.outcomes.append(claim.Outcome(handler, claim.Result.READ, known.base))

    patch.setattr(claim.Claim, "_confirm", trusting)


def check_of_any_ballot(patch):
    answer = finchswitch.control.replicas.Replicas.answer

    def obliging(self, kind, body):
        answered = answer(self, kind, body)
        return {**answered, "yes": True} if kind == "vote.check" else answered

    patch.setattr(finchswitch.control.replicas.Replicas, "answer", obliging)


def order_memory_dropped(patch):
    empty = {"blocks": [], "forgotten": [0, 0]}
    patch.setattr(finchswitch.control.document, "remember", lambda *arguments: empty)


def order_sent_again_not_looked_up(patch):
    patch.setattr(finchswitch.control.judgement, "find_order", lambda document, change_id, digest: None)


def commit_without_base_check(patch):
    def begin(self, base, following):
        return ROUNDS.AcceptRound(self.part, self.ballot, following, base)

    patch.setattr(finchswitch.control.ownership.Ownership, "begin_commit", begin)


def learner_becomes_member_without_joint_group(patch):
    succeed = finchswitch.control.document.succeed

    def at_once(document, body, change, group):
        following = succeed(document, body, change, group)
        return {**following, "former": following["group"]}

    patch.setattr(finchswitch.control.document, "succeed", at_once)


def ballot_not_raised_after_restart(patch):
    begin = finchswitch.checking.claim.Claim.__init__
    patch.setattr(finchswitch.checking.claim.Claim, "__init__", lambda self, store, highest: begin(self, store, 0))


def others_asked_before_own_promise(patch):
    patch.setattr(finchswitch.checking.model.Model, "_promised_first", lambda self, state, machine: state)


def own_promise_not_needed(patch):
    decide = ROUNDS.Election._decide

    def hasty(self):
        self._promised.add(self._candidate)
        return decide(self)

    patch.setattr(ROUNDS.Election, "_decide", hasty)


# What is taken out, and the scenario whose search finds it.
FOUND = [
    (one_vote_is_enough, "rivals"),
    (former_group_not_asked, "swap"),
    (found_document_not_taken_up, "rivals"),
    (no_accept_again, "read"),
    (refusal_without_a_majority, "refusal"),
    (read_without_a_majority, "read"),
    (check_of_any_ballot, "read"),
    (order_memory_dropped, "again"),
    (order_sent_again_not_looked_up, "again"),
    (commit_without_base_check, "one-owner"),
    (learner_becomes_member_without_joint_group, "swap"),
    (ballot_not_raised_after_restart, "crash"),
    (others_asked_before_own_promise, "elections"),
]
_LIMITS = Limits(seconds=120)  # on a busy machine; each is found in seconds


@pytest.mark.parametrize("take_out, scenario", FOUND, ids=[case[0].__name__ for case in FOUND])
def test_the_search_finds_a_missing_guard(monkeypatch, take_out, scenario):
    take_out(monkeypatch)
    found = search(SCENARIOS[scenario], _LIMITS)
    assert found.violation and found.schedule


def test_own_promise_counts_only_behind_its_order(monkeypatch):
    """A candidate asks others only after its own promise, so that an election cannot be won without it either way."""
    own_promise_not_needed(monkeypatch)
    assert not search(SCENARIOS["elections"], Limits(states=12_000, seconds=120)).violation
