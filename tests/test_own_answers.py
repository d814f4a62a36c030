"""Answers of runners in the product's own interface: each reaches the request that it belongs to, or nobody."""

import json
from random import Random

import anyio
import pytest

from finchswitch.router.dialect import Fate
from finchswitch.router.own import OwnDialect
from finchswitch.simulation.network import Net
from finchswitch.simulation.play import in_virtual_time
from finchswitch.simulation.scripted_runner import Close, Pause, Reset, ScriptedRunner, make_call

IDENTITY = json.dumps({"runner": "r-1", "incarnation": "i-1"}).encode()


def identity(status=200, body=IDENTITY, length=None):
    return f"HTTP/1.1 {status} Any\r\nContent-Length: {length or len(body)}\r\n\r\n".encode() + body


def answer(*ids, status=200, runners=("r-1",), incarnations=("i-1",), more=(), body=None):
    """A whole answer under these ids."""
    named = [*(("X-Request-Id", each) for each in ids), *(("X-Runner", each) for each in runners)]
    named += [*(("X-Incarnation", each) for each in incarnations), *more, ("Content-Type", "text/event-stream")]
    lines = "".join(f"{name}: {value}\r\n" for name, value in named)
    body = stream(*ids) if body is None else body
    return f"HTTP/1.1 {status} Any\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body


def stream(*words):
    pieces = [{"choices": [{"delta": {"content": each}, "finish_reason": "stop"}]} for each in words or ("none",)]
    return b"".join(b"data: " + json.dumps(each).encode() + b"\n\n" for each in pieces) + b"data: [DONE]\n\n"


def play(script, *ids, proof=None):
    """What attempts under these ids give, one after the other, and the runner that acted the script out."""

    def whole_script(received):
        return (proof or [identity()]) if received.target == "/identity" else script(received)

    async def run():
        results = []
        async with anyio.create_task_group() as group:
            runner = ScriptedRunner(Net(Random(1)), group, OwnDialect(), whole_script)
            await runner.listen()
            for each in ids:
                results.append(await runner.attempt(make_call(each)))
                await anyio.sleep(0.05)
            group.cancel_scope.cancel()
        return results, runner

    return in_virtual_time(run, 1)


def asked(runner):
    return [each for each in runner.received if each.target != "/identity"]


def own(received):
    return received.headers["x-request-id"]


HEADS = {
    "its own": (lambda one: answer(one), Fate.COMPLETE),
    "its own refusal": (lambda one: answer(one, status=503, more=[("X-Outcome", "not-run")]), Fate.NOT_RUN),
    "id missing": (lambda one: answer(), Fate.UNKNOWN),
    "id foreign": (lambda one: answer("other"), Fate.UNKNOWN),
    "id doubled": (lambda one: answer(one, one), Fate.UNKNOWN),
    "id doubled and foreign": (lambda one: answer(one, "other"), Fate.UNKNOWN),
    "runner missing": (lambda one: answer(one, runners=()), Fate.UNKNOWN),
    "runner doubled": (lambda one: answer(one, runners=("r-1", "r-2")), Fate.UNKNOWN),
    "incarnation missing": (lambda one: answer(one, incarnations=()), Fate.UNKNOWN),
    "incarnation foreign": (lambda one: answer(one, incarnations=("i-0",)), Fate.UNKNOWN),
    "a refusal without an id": (lambda one: answer(status=503, more=[("X-Outcome", "not-run")]), Fate.UNKNOWN),
    "a foreign refusal": (lambda one: answer("other", status=503, more=[("X-Outcome", "not-run")]), Fate.UNKNOWN),
    "a success that says it did not run": (lambda one: answer(one, more=[("X-Outcome", "not-run")]), Fate.UNKNOWN),
}


@pytest.mark.parametrize("name", HEADS)
def test_only_an_answer_under_its_own_names_is_believed(name):
    make, fate = HEADS[name]
    (result, following), runner = play(lambda received: [make(own(received))], "one", "two")
    assert result.fate is following.fate is fate
    assert len({each.connection for each in asked(runner)}) == 2


def test_two_heads_do_not_join_to_one_id():
    (result,), _ = play(lambda received: [answer("a", "b")], "a, b")
    assert result.fate is Fate.UNKNOWN


def test_what_follows_a_whole_answer_reaches_no_later_request():
    def script(received):
        return [answer(own(received)) + answer("two", body=stream("foreign")), Pause(20), answer("two")]

    results, runner = play(script, "one", "two", "three")
    assert [each.fate for each in results] == [Fate.COMPLETE] * 3
    assert b"foreign" not in results[1].data and b"two" in results[1].data
    assert len({each.connection for each in asked(runner)}) == 3


PROOFS = {
    "another runner": [identity(body=json.dumps({"runner": "r-2", "incarnation": "i-1"}).encode())],
    "another incarnation": [identity(body=json.dumps({"runner": "r-1", "incarnation": "i-0"}).encode())],
    "a failure": [identity(status=500)],
    "no JSON": [identity(body=b"{")],
    "no object": [identity(body=b"[]")],
    "JSON nested without end": [identity(body=b"[" * 50_000)],
    "no text": [identity(body=b"\xff\xfe{")],
    "no HTTP": [b"\x16\x03\x01\x00\xff\r\n\r\n"],
    "cut": [identity(length=999), Close()],
    "reset": [identity(length=999), Reset()],
    "closed": [Close()],
    "silent": [Pause(5_000)],
    "an answer behind it": [identity() + answer("one")],
    "half an answer behind it": [identity() + answer("one")[:30], Pause(10), answer("one")[30:]],
    "a byte behind it": [identity() + b"x"],
}


@pytest.mark.parametrize("name", PROOFS)
def test_nothing_is_put_on_a_connection_without_a_clean_proof(name):
    (result,), runner = play(lambda received: [answer(own(received))], "one", proof=PROOFS[name])
    assert result.fate is Fate.NOT_RUN and asked(runner) == []


STREAMS = {
    "a number that is no number": "id: \u00b2\ndata: {}\n\n".encode(),
    "a number too long to read": b"id: " + b"9" * 5_000 + b"\ndata: {}\n\n",
    "JSON nested without end": b"data: " + b"[" * 50_000 + b"\n\n",
    "no object": b"data: []\n\n",
    "choices that are none": b'data: {"choices": 1}\n\n',
    "no text": b"data: \xff\xfe\n\n",
    "ended early": b"",
    "done without a finish": b"data: [DONE]\n\n",
}


@pytest.mark.parametrize("name", STREAMS)
def test_a_stream_of_another_shape_ends_in_a_clear_error(name):
    (result,), _ = play(lambda received: [answer(own(received), body=STREAMS[name])], "one")
    assert result.fate is Fate.UNKNOWN and result.error.step == "stream"
