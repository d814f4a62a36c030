"""Scenes have teeth: with one guard taken out of the code, some seed breaks the very point that it guards."""

import httpx
import pytest

import finchswitch.control.acceptor
import finchswitch.control.changes
import finchswitch.control.proposer
import finchswitch.control.rounds
import finchswitch.distribution.news
import finchswitch.membership.member
import finchswitch.membership.sessions
import finchswitch.router.call
import finchswitch.router.dialect
import finchswitch.router.duties
import finchswitch.router.known_runner
import finchswitch.router.own
import finchswitch.router.proof
import finchswitch.router.roster
import finchswitch.router.tries
import finchswitch.simulation.cluster
import finchswitch.simulation.disk
import finchswitch.simulation.machine
import finchswitch.transport.line
from finchswitch.simulation.sweep import perform


def without_majority(patch):
    patch.setattr(finchswitch.control.rounds, "majority", lambda yes, *groups: len(yes) >= 1)


def without_taking_up(patch):
    elect = finchswitch.control.proposer.Proposer._elect

    async def forgetful(self, election):
        known = election.found
        return known if await elect(self, election) is not None else None

    patch.setattr(finchswitch.control.proposer.Proposer, "_elect", forgetful)


def without_promise(patch):
    accept = finchswitch.control.acceptor.Acceptor.accept

    def easy(self, ballot, document, delta):
        self.promised = min(self.promised, ballot)
        return accept(self, ballot, document, delta)

    patch.setattr(finchswitch.control.acceptor.Acceptor, "accept", easy)


def without_disk(patch):
    def keep(self, promised, ballot, document):
        self.promised, self.ballot, self.document = promised, ballot, document

    patch.setattr(finchswitch.control.acceptor.Acceptor, "_keep", keep)


def without_proof(patch):
    async def none(self, stream, address):
        pass

    patch.setattr(finchswitch.router.proof.RunnerProof, "__call__", none)


def with_blind_repeats(patch):
    run = finchswitch.router.call._run

    async def repeating(node, dialect, call, send):
        object.__setattr__(call, "repeatable", True)
        return await run(node, dialect, call, send)

    patch.setattr(finchswitch.router.call, "_run", repeating)


def without_leaving(patch):
    move, event = finchswitch.router.roster.Roster._move, finchswitch.router.roster.RunnerEvent
    blind = lambda self, known, what: move(self, known, event.LISTED if what is event.LEAVES else what)  # noqa: E731
    patch.setattr(finchswitch.router.roster.Roster, "_move", blind)


def without_lease(patch):
    def always(self):
        return self._news.generation("creed") >= 1 and self.state.value != "stopping"

    patch.setattr(finchswitch.membership.member.Member, "may_grant", always)
    patch.setattr(finchswitch.membership.member.Member, "may_send", always)


def without_soft_stop(patch):
    async def at_once(node, stop, closed):
        node.member.stop()

    patch.setattr(finchswitch.simulation.cluster, "stop_node", at_once)


def without_budget(patch):
    patch.setattr(finchswitch.router.tries.Tries, "take", lambda self, share, now_ms, service, floor: True)


def with_false_not_run(patch):
    begin = finchswitch.router.dialect.AttemptError.__init__

    def hopeful(self, fate, step, peer, reason):
        begin(self, finchswitch.router.dialect.Fate.NOT_RUN, step, peer, reason)

    patch.setattr(finchswitch.router.dialect.AttemptError, "__init__", hopeful)


def without_waiting_for_the_end(patch):
    events = finchswitch.router.own._events

    async def trusting(response, known):
        try:
            async for content in events(response, known):
                yield content
        except (finchswitch.router.dialect.AttemptError, httpx.HTTPError):
            return

    patch.setattr(finchswitch.router.own, "_events", trusting)
    patch.setattr(finchswitch.router.own, "_finishes", lambda content: True)


def with_falling_news(patch):
    def take(self, part, generation, body):
        self._items[part] = (generation, body)
        return True

    patch.setattr(finchswitch.distribution.news.NewsBook, "take", take)


def without_sticky_leaving(patch):
    chart, states, events = (
        getattr(finchswitch.router.known_runner, name) for name in ("_TRANSITIONS", "RunnerState", "RunnerEvent")
    )
    patch.setitem(chart.moves, (states.LEAVING, events.LISTED), states.UP)
    patch.setattr(finchswitch.router.roster.Roster, "hear_leaving", lambda self, leaving: None)


def without_half_of_peers(patch):
    def confirmed(self):
        return not self._controlled() or self._news.generation("creed") >= self._told.get("creed", 0)

    patch.setattr(finchswitch.membership.member.Member, "_confirmed", confirmed)


def without_folder_sync(patch):
    patch.setattr(finchswitch.simulation.disk.SimDisk, "sync_folder", lambda self, folder: None)


def without_fence(patch):
    async def edit(self, key, guard, edits, also=None):
        body = {"part": finchswitch.router.duties.part_of(key), "guards": [], "edits": edits}
        await self._node.book.ask(self._node.member.controls.chosen, "part.edit", body, 1_000)

    patch.setattr(finchswitch.router.duties.Duties, "_edit", edit)


def without_counting_pieces(patch):
    patch.setattr(finchswitch.router.own, "_follows", lambda number, before: True)


def without_409(patch):
    as_owner = finchswitch.control.changes._as_owner

    async def obliging(control, change):
        document = control.proposers["creed"].document
        return await as_owner(control, {**change, "base": document["generation"]} if document else change)

    patch.setattr(finchswitch.control.changes, "_as_owner", obliging)


def without_former_group(patch):
    majority = finchswitch.control.rounds.majority
    patch.setattr(finchswitch.control.rounds, "majority", lambda yes, group, former: majority(yes, group))


def with_a_clock_that_stops(patch):
    """Machines whose clock does not count the time that they were frozen."""
    machine = finchswitch.simulation.machine.Machine
    freeze, thaw, now_ms, lost, since = machine.freeze, machine.thaw, machine.now_ms, {}, {}

    def frozen(self):
        since.setdefault(self.name, now_ms(self))
        freeze(self)

    def thawed(self):
        if self.name in since:
            lost[self.name] = lost.get(self.name, 0.0) + now_ms(self) - since.pop(self.name)
        thaw(self)

    patch.setattr(machine, "freeze", frozen)
    patch.setattr(machine, "thaw", thawed)
    patch.setattr(machine, "now_ms", lambda self: since.get(self.name, now_ms(self)) - lost.get(self.name, 0.0))


def without_format_check(patch):
    patch.setattr(finchswitch.transport.line.Line, "check", lambda self, message: None)


# What is taken out, the scene and seed that miss it, and the point that is broken then.
CASES = [
    (with_false_not_run, "runner-faults", 2, "runs-twice"),
    (with_false_not_run, "lone-runner", 1, "not-run-yet-run"),
    (without_waiting_for_the_end, "runner-faults", 1, "pieces-whole"),
    (without_counting_pieces, "stutter", 1, "pieces-whole"),
    (without_majority, "mixed-storm", 1, "changes-exclusive"),
    (without_taking_up, "mixed-storm", 2, "refused-without-effect"),
    (without_promise, "mixed-storm", 4, "changes-exclusive"),
    (without_disk, "kills-storm", 1, "not as expected"),
    (without_folder_sync, "kills-storm", 5, "a change is taken at the end"),
    (without_former_group, "swap-cut", 1, "changes-exclusive"),
    (without_409, "races", 1, "changes-exclusive"),
    (without_proof, "reused-address", 2, "only-allowed"),
    (with_blind_repeats, "runner-faults", 2, "runs-twice"),
    (without_leaving, "replaced", 2, "leaving-left-alone"),
    (without_sticky_leaving, "list-flaps", 1, "leaving-left-alone"),
    (without_lease, "nodes-cut", 2, "acknowledged-in-effect"),
    (without_half_of_peers, "nodes-cut", 4, "acknowledged-in-effect"),
    (with_a_clock_that_stops, "freezes", 2, "acknowledged-in-effect"),
    (with_falling_news, "old-news", 7, "never-back"),
    (without_fence, "plan-holder-sleeps", 1, "shares only grow"),
    (without_format_check, "too-new", 1, "too new is not ready"),
    (without_budget, "all-refuse", 1, "tries-within"),
    (without_soft_stop, "rolling-stop", 1, "planned-cuts-nothing"),
]


@pytest.mark.parametrize("take_out, scene, seed, point", CASES, ids=[f"{case[0].__name__}-{case[3]}" for case in CASES])
def test_a_missing_guard_is_found(monkeypatch, take_out, scene, seed, point):
    take_out(monkeypatch)
    seeds = dict.fromkeys(
        (seed, *range(1, 13))
    )  # the named one is the quick way; code may move what a seed brings about
    assert any(point in fault for each in seeds for fault in perform(scene, each)[1])
