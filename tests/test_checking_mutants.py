"""Guards taken out of the real code one by one: the search finds a schedule that breaks an invariant without each."""

import finchswitch.checking.claim
import finchswitch.control.acceptor
import finchswitch.control.document
import finchswitch.control.ownership
import finchswitch.control.replicas
import finchswitch.control.rounds
import finchswitch.storage
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
    succeed = finchswitch.control.document.succeed

    def forgetful(document, body, change, group):
        return {**succeed(document, body, change, group), "recent": [change] if change else []}

    patch.setattr(finchswitch.control.judgement, "succeed", forgetful)
    patch.setattr(finchswitch.control.document, "succeed", forgetful)


def order_sent_again_not_looked_up(patch):
    judge = finchswitch.checking.claim.judge_change
    patch.setattr(
        finchswitch.checking.claim, "judge_change", lambda document, change: judge({**document, "recent": []}, change)
    )


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
    """A store that only learned votes, and its yes counts, without the former group's."""
    majority = ROUNDS.majority
    patch.setattr(Acceptor, "votes", lambda self: self.document is not None)
    patch.setattr(ROUNDS, "majority", lambda yes, group, former: majority(yes, group))


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
    def grow(base, delta):
        return finchswitch.control.document.grow(base, {**delta, "base": base["step"]})

    def accept(self, ballot, document, delta):
        if ballot < self.promised:
            return {"yes": False, "promised": self.promised, "lacks": False}
        document = grow(self.document, delta) if delta is not None else document
        self._keep(ballot, ballot, document)
        return {"yes": True, "promised": self.promised, "lacks": False}

    patch.setattr(Acceptor, "accept", accept)


def older_step_accepted_again(patch):
    accept = Acceptor.accept

    def backwards(self, ballot, document, delta):
        held = self.document
        if document is not None and held is not None and self.ballot == ballot and held["step"] > document["step"]:
            self._keep(ballot, ballot, document)
            return {"yes": True, "promised": self.promised, "lacks": False}
        return accept(self, ballot, document, delta)

    patch.setattr(Acceptor, "accept", backwards)
