"""Fleets whose runners spoil their answers: what clients saw is checked afterwards against what each runner ran."""

from random import Random

import anyio
import httpcore
import pytest

from finchswitch.platform import calls
from finchswitch.platform.stand_in_checks import judge
from finchswitch.platform.stand_in_documents import DOCUMENT, RESUMED, UNSAFE
from finchswitch.platform.stand_in_fleet import play_fleet
from finchswitch.platform.stand_in_unruly import Spoiled, UnrulyInstance
from finchswitch.router import dialect
from finchswitch.transport import client

DAY_MS = 8_000


def unruly_day(seed, kinds=tuple(Spoiled), share=0.3):
    """A day of both routes on unruly runners; one of them dies and its address goes to another service."""

    async def scene(fleet):
        chance = Random(seed)

        def make(world, service, incarnation, slots):
            return UnrulyInstance(world, service, incarnation, slots, chance=chance, share=share, kinds=kinds)

        fleet.make_instance = make
        await fleet.open_up(DOCUMENT)
        async with anyio.create_task_group() as group:
            group.start_soon(fleet.ask_openly, UNSAFE, 15, DAY_MS)
            group.start_soon(fleet.ask_openly, RESUMED, 15, DAY_MS)
            await fleet.outside.sleep(DAY_MS / 2)
            host = fleet.processes["site-r1-i1"].host
            fleet.kill("site-r1-i1")
            await fleet.outside.sleep(50)
            fleet.start_runner("other-r1", "other-r1-i1", host, service="s-other")

    return play_fleet(scene, seed)


@pytest.mark.parametrize("seed", range(1, 4))
def test_whatever_runners_send_nothing_is_mixed_and_nothing_runs_twice(seed):
    fleet = unruly_day(seed)
    seen = fleet.seen()
    assert judge(seen) == {}
    assert len(seen.asked) > 100 and len([each for each in seen.asked if each.status == 200 and each.whole]) > 50
    kinds = {kind for instance in fleet.instances.values() for _, kind in instance.spoiled}
    assert len(kinds) >= len(Spoiled) - 3
    assert fleet.instances["other-r1-i1"].ran == []


def own_id_by_default(patch):
    def believing(response, name):
        values = dialect_values(response, name)
        return values or [response.request_id]

    dialect_values = dialect.header_values
    check = calls.PlatformDialect.check_head

    def check_head(self, response, known, call):
        response.request_id = call.request_id.encode()
        return check(self, response, known, call)

    patch.setattr(calls, "header_values", believing)
    patch.setattr(calls.PlatformDialect, "check_head", check_head)


def bytes_behind_an_answer_kept(patch):
    patch.setattr(client._Http11Connection, "_response_closed", httpcore.AsyncHTTP11Connection._response_closed)
    own_id_by_default(patch)


def no_target(patch):
    request = calls.PlatformDialect.request

    def without(self, call, known, left_ms, after):
        made = request(self, call, known, left_ms, after)
        del made.headers["x-target-instance"]
        return made

    patch.setattr(calls.PlatformDialect, "request", without)


def open_fates_called_not_run(patch):
    begin = dialect.AttemptError.__init__

    def hopeful(self, fate, step, peer, reason):
        begin(self, dialect.Fate.NOT_RUN, step, peer, reason)

    patch.setattr(dialect.AttemptError, "__init__", hopeful)


MUTANTS = [
    (own_id_by_default, (Spoiled.NAMELESS_BEFORE, Spoiled.REFUSED_BEFORE), {"torn", "refused_but_run"}),
    (bytes_behind_an_answer_kept, (Spoiled.NAMELESS_BEHIND,), {"torn"}),
    (open_fates_called_not_run, (Spoiled.LOST_CLOSED, Spoiled.LOST_RESET), {"run_twice", "refused_but_run"}),
]


@pytest.mark.parametrize("take_out, kinds, points", MUTANTS, ids=[each[0].__name__ for each in MUTANTS])
def test_a_missing_guard_is_found(monkeypatch, take_out, kinds, points):
    take_out(monkeypatch)
    assert points & set(judge(unruly_day(1, kinds).seen()))


def test_without_its_name_a_request_would_run_at_an_address_used_again(monkeypatch):
    no_target(monkeypatch)
    fleet = unruly_day(1, kinds=(Spoiled.UNREAD,), share=0.0)
    assert fleet.instances["other-r1-i1"].ran != []
