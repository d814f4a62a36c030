"""Scenes have teeth: with one guard taken out of the code, some seed breaks the very point that it guards."""

import httpx
import pytest

import finchswitch.accord.acceptor
import finchswitch.accord.register
import finchswitch.kinship.member
import finchswitch.kinship.sessions
import finchswitch.rehearsal.theatre
import finchswitch.transit.attempt
import finchswitch.transit.call
import finchswitch.transit.proof
import finchswitch.transit.roster
import finchswitch.transit.tries
from finchswitch.rehearsal.sweep import perform


def without_majority(patch):
    patch.setattr(finchswitch.accord.register, "majority", lambda yes, *groups: len(yes) >= 1)


def without_taking_up(patch):
    elect = finchswitch.accord.register.Register._elect

    async def forgetful(self, known):
        return known if await elect(self, known) is not None else None

    patch.setattr(finchswitch.accord.register.Register, "_elect", forgetful)


def without_promise(patch):
    accept = finchswitch.accord.acceptor.Acceptor.accept

    def easy(self, ballot, document, delta):
        self.promised = min(self.promised, ballot)
        return accept(self, ballot, document, delta)

    patch.setattr(finchswitch.accord.acceptor.Acceptor, "accept", easy)


def without_disk(patch):
    def keep(self, promised, ballot, document):
        self.promised, self.ballot, self.document = promised, ballot, document

    patch.setattr(finchswitch.accord.acceptor.Acceptor, "_keep", keep)


def without_proof(patch):
    async def none(self, stream, address):
        pass

    patch.setattr(finchswitch.transit.proof.RunnerProof, "__call__", none)


def with_blind_repeats(patch):
    run = finchswitch.transit.call._run

    async def repeating(node, prompt, send):
        object.__setattr__(prompt, "repeatable", True)
        await run(node, prompt, send)

    patch.setattr(finchswitch.transit.call, "_run", repeating)


def without_leaving(patch):
    move, event = finchswitch.transit.roster.Roster._move, finchswitch.transit.roster.RunnerEvent
    blind = lambda self, known, what: move(self, known, event.LISTED if what is event.LEAVES else what)  # noqa: E731
    patch.setattr(finchswitch.transit.roster.Roster, "_move", blind)


def without_lease(patch):
    def always(self):
        return self._news.generation("creed") >= 1 and self.state.value != "stopping"

    patch.setattr(finchswitch.kinship.member.Member, "may_grant", always)
    patch.setattr(finchswitch.kinship.member.Member, "may_send", always)


def without_soft_stop(patch):
    async def at_once(node, stop, closed):
        node.member.stop()

    patch.setattr(finchswitch.rehearsal.theatre, "stop_node", at_once)


def without_budget(patch):
    patch.setattr(finchswitch.transit.tries.Tries, "take", lambda self, share, nowMs: True)


def with_false_not_run(patch):
    begin = finchswitch.transit.attempt.TryMishap.__init__

    def hopeful(self, fate, step, peer, reason):
        begin(self, finchswitch.transit.attempt.Fate.NOT_RUN, step, peer, reason)

    patch.setattr(finchswitch.transit.attempt.TryMishap, "__init__", hopeful)


def without_waiting_for_the_end(patch):
    events = finchswitch.transit.attempt._events

    async def trusting(response, known):
        try:
            async for content in events(response, known):
                yield content
        except (finchswitch.transit.attempt.TryMishap, httpx.HTTPError):
            return

    patch.setattr(finchswitch.transit.attempt, "_events", trusting)
    patch.setattr(finchswitch.transit.attempt, "_finishes", lambda content: True)


CASES = [
    (with_false_not_run, "runner-faults", "runs-twice"),
    (without_waiting_for_the_end, "runner-faults", "pieces-whole"),
    (without_majority, "mixed-storm", "changes-exclusive"),
    (without_taking_up, "mixed-storm", "refused-without-effect"),
    (without_promise, "mixed-storm", "changes-exclusive"),
    (without_disk, "kills-storm", "not as expected"),
    (without_proof, "reused-address", "only-allowed"),
    (with_blind_repeats, "runner-faults", "runs-twice"),
    (without_leaving, "replaced", "leaving-left-alone"),
    (without_lease, "nodes-cut", "acknowledged-in-effect"),
    (without_budget, "all-refuse", "requests reached runners"),
    (without_soft_stop, "rolling-stop", "planned-cuts-nothing"),
]


@pytest.mark.parametrize("take_out, scene, point", CASES, ids=[case[0].__name__ for case in CASES])
def test_a_missing_guard_is_found(monkeypatch, take_out, scene, point):
    take_out(monkeypatch)
    most = 60 if scene.endswith("storm") else 8
    assert any(point in fault for seed in range(1, most) for fault in perform(scene, seed)[1])
