"""Guards taken out of the real code one by one: the search finds a schedule that breaks an invariant without each."""

import pytest

import finchswitch.checking.claim
import finchswitch.checking.memory_disk
import finchswitch.checking.replica
import finchswitch.control.acceptor
import finchswitch.control.document
import finchswitch.control.judgement
import finchswitch.control.ownership
import finchswitch.control.replicas
import finchswitch.control.rounds
import finchswitch.storage
from finchswitch.checking.scenarios import SCENARIOS
from finchswitch.checking.search import Limits, search
from finchswitch.errors import FleetError

Acceptor = finchswitch.control.acceptor.Acceptor
ROUNDS = finchswitch.control.rounds


def promise_in_memory_only(patch):
    keep = Acceptor._keep

    def keep_accepted(self, promised, ballot, document):
        if (ballot, document) == (self.ballot, self.document):
            self.promised = promised
        else:
            keep(self, promised, ballot, document)

    patch.setattr(Acceptor, "_keep", keep_accepted)


def accepted_in_memory_only(patch):
    def keep(self, promised, ballot, document):
        self.promised, self.ballot, self.document = promised, ballot, document

    patch.setattr(Acceptor, "_keep", keep)


def accept_below_the_promise(patch):
    accept = Acceptor.accept

    def easy(self, ballot, document, delta):
        self.promised = min(self.promised, ballot)
        return accept(self, ballot, document, delta)

    patch.setattr(Acceptor, "accept", easy)


def no_folder_sync(patch):
    patch.setattr(finchswitch.checking.memory_disk.MemoryDisk, "sync_folder", lambda self, folder: None)


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


def own_promise_not_needed(patch):
    decide = ROUNDS.Election._decide

    def hasty(self):
        self._promised.add(self._candidate)
        return decide(self)

    patch.setattr(ROUNDS.Election, "_decide", hasty)


def emptied_store_keeps_its_id(patch):
    patch.setattr(finchswitch.checking.replica._Chance, "randbytes", lambda self, count: bytes(count))


def any_store_id_answered(patch):
    answer = finchswitch.control.replicas.Replicas.answer

    def any_store(self, kind, body):
        return answer(self, kind, {**body, "store": self._store.store})

    patch.setattr(finchswitch.control.replicas.Replicas, "answer", any_store)


def learner_votes_early(patch):
    patch.setattr(Acceptor, "votes", lambda self: self.document is not None)


def torn_file_falls_back(patch):
    newest = finchswitch.storage.VersionedFile.newest

    def trusting(versions):
        try:
            return newest(versions)
        except FleetError:
            name = max(versions._disk.names(versions._folder))
            versions._disk.remove(versions._folder, name)
            return newest(versions)

    patch.setattr(finchswitch.storage.VersionedFile, "newest", trusting)


def delta_on_any_base(patch):
    grow = finchswitch.control.document.grow
    patch.setattr(finchswitch.control.acceptor, "builds_on", lambda delta, base: True)
    patch.setattr(
        finchswitch.control.acceptor, "grow", lambda base, delta: grow(base, {**delta, "since": base["step"]})
    )


def delta_under_another_ballot(patch):
    accept = Acceptor.accept

    def on_any_ballot(self, ballot, document, delta):
        if delta is not None and ballot >= self.promised:
            self.ballot = ballot
        return accept(self, ballot, document, delta)

    patch.setattr(Acceptor, "accept", on_any_ballot)


def older_step_accepted_again(patch):
    accept = Acceptor.accept

    def backwards(self, ballot, document, delta):
        held = self.document
        if document is not None and held is not None and self.ballot == ballot and held["step"] > document["step"]:
            self._keep(ballot, ballot, document)
            return {"yes": True, "promised": self.promised, "lacks": False}
        return accept(self, ballot, document, delta)

    patch.setattr(Acceptor, "accept", backwards)


# What is taken out, and the scenario whose search finds it.
FOUND = [
    (promise_in_memory_only, "elections"),
    (accepted_in_memory_only, "crash"),
    (no_folder_sync, "elections"),
    (accept_below_the_promise, "rivals"),
    (one_vote_is_enough, "rivals"),
    (former_group_not_asked, "swap"),
    (learner_becomes_member_without_joint_group, "swap"),
    (found_document_not_taken_up, "rivals"),
    (no_accept_again, "rivals"),
    (refusal_without_a_majority, "refusal"),
    (read_without_a_majority, "read"),
    (check_of_any_ballot, "read"),
    (order_memory_dropped, "again"),
    (order_sent_again_not_looked_up, "again"),
    (commit_without_base_check, "one-owner"),
    (ballot_not_raised_after_restart, "crash"),
    (own_promise_not_needed, "elections"),
    (emptied_store_keeps_its_id, "wipe"),
    (torn_file_falls_back, "torn"),
    (delta_on_any_base, "doubled"),
    (older_step_accepted_again, "late"),
]
_LIMITS = Limits(seconds=120)  # on a busy machine; each is found in seconds


@pytest.mark.parametrize("take_out, scenario", FOUND, ids=[case[0].__name__ for case in FOUND])
def test_the_search_finds_a_missing_guard(monkeypatch, take_out, scenario):
    take_out(monkeypatch)
    found = search(SCENARIOS[scenario], _LIMITS)
    assert found.violation and found.schedule


# Guards that stand behind others: without one of these alone, nothing breaks in all states of its scenario.
SECOND_GUARDS = [(any_store_id_answered, "wipe")]


@pytest.mark.parametrize("take_out, scenario", SECOND_GUARDS, ids=[case[0].__name__ for case in SECOND_GUARDS])
def test_a_second_guard_holds_alone(monkeypatch, take_out, scenario):
    take_out(monkeypatch)
    found = search(SCENARIOS[scenario], _LIMITS)
    assert found.whole and not found.violation
