"""Answers on kept connections to the platform's runners: each reaches the request that it belongs to, or nobody."""

from random import Random

import anyio
import pytest

from finchswitch.platform.calls import PlatformDialect, RequestWords
from finchswitch.router.dialect import Fate
from finchswitch.simulation.network import Net
from finchswitch.simulation.play import in_virtual_time
from finchswitch.simulation.scripted_runner import Close, Pause, Reset, ScriptedRunner, make_call

SEALED = (("X-Server-Seal", "seal"),)


def answer(*ids, status=200, more=SEALED, body=b"body"):
    """A whole answer under these ids."""
    named = [*(("X-Attempt-Id", each) for each in ids), *more, ("Content-Length", str(len(body)))]
    lines = "".join(f"{name}: {value}\r\n" for name, value in named)
    return f"HTTP/1.1 {status} Any\r\n{lines}\r\n".encode("latin-1") + body


def call(request_id, body=b"{}"):
    words = RequestWords("POST", b"/a/b", [(b"x-attempt-id", request_id.encode("latin-1"))])
    return make_call(request_id, words, body)


def play(script, scene, net=None):
    """Play a scene against a runner of that script; gives the runner with what it received."""

    async def run():
        async with anyio.create_task_group() as group:
            runner = ScriptedRunner(net or Net(Random(1)), group, PlatformDialect(), script)
            await runner.listen()
            await scene(runner)
            group.cancel_scope.cancel()
        return runner

    return in_virtual_time(run, 1)


def attempts(script, *ids, pause_ms=50.0):
    """What attempts under these ids give, one after the other, and the connections on which the runner saw them."""
    results = []

    async def scene(runner):
        for each in ids:
            results.append(await runner.attempt(call(each)))
            await anyio.sleep(pause_ms / 1000)

    runner = play(script, scene)
    assert [each.headers["x-attempt-id"] for each in runner.received] == list(ids)
    return results, [each.connection for each in runner.received]


def own(received):
    return received.headers["x-attempt-id"]


HEADS = {
    "its own": (lambda one: answer(one), Fate.COMPLETE),
    "its own refusal": (lambda one: answer(one, status=503, more=[("X-Not-Executed", "1")]), Fate.NOT_RUN),
    "its own misdirected": (lambda one: answer(one, status=421, more=[]), Fate.NOT_RUN),
    "missing": (lambda one: answer(), Fate.UNKNOWN),
    "empty": (lambda one: answer(""), Fate.UNKNOWN),
    "foreign": (lambda one: answer("other"), Fate.UNKNOWN),
    "doubled": (lambda one: answer(one, one), Fate.UNKNOWN),
    "doubled and foreign": (lambda one: answer(one, "other"), Fate.UNKNOWN),
    "foreign before its own": (lambda one: answer("other", one), Fate.UNKNOWN),
    "a refusal without an id": (lambda one: answer(status=503, more=[("X-Not-Executed", "1")]), Fate.UNKNOWN),
    "a foreign refusal": (lambda one: answer("other", status=503, more=[("X-Not-Executed", "1")]), Fate.UNKNOWN),
    "misdirected without an id": (lambda one: answer(status=421, more=[]), Fate.UNKNOWN),
    "a failure without an id": (lambda one: answer(status=500), Fate.UNKNOWN),
    "bad request without an id": (lambda one: answer(status=400, more=[]), Fate.UNKNOWN),
    "a success that says it did not run": (
        lambda one: answer(one, more=[*SEALED, ("X-Not-Executed", "1")]),
        Fate.UNKNOWN,
    ),
    "a sealed failure that says it did not run": (
        lambda one: answer(one, status=503, more=[*SEALED, ("X-Not-Executed", "1")]),
        Fate.UNKNOWN,
    ),
}


@pytest.mark.parametrize("name", HEADS)
def test_only_an_answer_under_its_own_id_is_believed(name):
    make, fate = HEADS[name]
    (first, second), connections = attempts(lambda received: [make(own(received))], "one", "two")
    assert first.fate is second.fate is fate
    if fate is Fate.UNKNOWN:
        assert connections[0] != connections[1]
        assert first.head is None and first.data == b""


@pytest.mark.parametrize("request_id", ["a, b", "b\xe9"])
def test_ids_are_compared_as_bytes(request_id):
    (result,), _ = attempts(lambda received: [answer(own(received))], request_id)
    assert result.fate is Fate.COMPLETE


def test_two_heads_do_not_join_to_one_id():
    (result,), _ = attempts(lambda received: [answer("a", "b")], "a, b")
    assert result.fate is Fate.UNKNOWN


BEHIND = {
    "a whole answer without an id": answer(),
    "a whole answer of another": answer("zero"),
    "half an answer": answer("zero")[:30],
    "no HTTP": b"\x16\x03\x01\x00\xff",
    "one byte": b"x",
    "a line end": b"\r\n",
}


@pytest.mark.parametrize("gap_ms", [0.0, 10.0, 60.0])
@pytest.mark.parametrize("name", BEHIND)
def test_what_follows_a_whole_answer_belongs_to_no_request(name, gap_ms):
    """Glued to the answer, while the connection is idle, or when the next request is already written."""

    def script(received):
        whole = answer(own(received), body=own(received).encode())
        if gap_ms == 0.0:
            return [whole + BEHIND[name]]
        if own(received) == "one":
            return [whole, Pause(gap_ms), BEHIND[name]]
        return [whole]

    results, connections = attempts(script, "one", "two", "three", pause_ms=50.0)
    for request_id, result in zip(("one", "two", "three"), results, strict=True):
        assert result.fate is Fate.UNKNOWN or result.data == request_id.encode()
    assert results[0].fate is results[2].fate is Fate.COMPLETE
    assert connections[0] != connections[2]
    if gap_ms < 50.0:
        assert results[1].fate is Fate.COMPLETE and connections[0] != connections[1]


def test_an_answer_in_place_of_the_next_reaches_nobody():
    def script(received):
        extra = [] if own(received) != "two" else [answer("one", body=b"one")]
        return [Pause(20), *extra, Pause(20), answer(own(received), body=own(received).encode())]

    results, connections = attempts(script, "one", "two", "three")
    assert [each.fate for each in results] == [Fate.COMPLETE, Fate.UNKNOWN, Fate.COMPLETE]
    assert [each.data for each in results] == [b"one", b"", b"three"]
    assert connections[0] == connections[1] != connections[2]


@pytest.mark.parametrize("gone_ms", [5.0, 25.0, 45.0])
def test_an_answer_that_nobody_waits_for_any_more_is_left_to_nobody(gone_ms):
    """The caller goes away before the head, between head and body, and in the body; the rest comes later."""
    results = []

    def script(received):
        whole = answer(own(received), body=own(received).encode() * 3)
        return [Pause(20), whole[:-6], Pause(20), whole[-6:-3], Pause(20), whole[-3:]]

    async def scene(runner):
        results.append(await runner.attempt(call("one"), patience_ms=gone_ms))
        results.append(await runner.attempt(call("two")))

    runner = play(script, scene)
    assert results[0].fate is Fate.UNKNOWN and results[1].data == b"twotwotwo"
    assert len({each.connection for each in runner.received}) == 2


def test_a_sound_connection_is_kept():
    results, connections = attempts(lambda received: [answer(own(received))], "one", "two", "three")
    assert {each.fate for each in results} == {Fate.COMPLETE} and len(set(connections)) == 1


ENDS = {
    "closed before the head": [Close()],
    "reset before the head": [Reset()],
    "no HTTP": [b"\x16\x03\x01\x00\xff\r\n\r\n"],
    "closed in the head": [answer("one")[:40], Close()],
    "closed in the body": [answer("one")[:-1], Close()],
    "reset in the body": [answer("one")[:-1], Reset()],
    "no length": [b"HTTP/1.1 200 OK\r\nX-Attempt-Id: one\r\nX-Server-Seal: s\r\nConnection: close\r\n\r\nbo", Close()],
    "a broken chunk": [
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: one\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nbody"
    ],
    "two lengths": [
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: one\r\nX-Server-Seal: s\r\n"
        b"Content-Length: 2\r\nContent-Length: 4\r\n\r\nbody"
    ],
}


@pytest.mark.parametrize("name", ENDS)
def test_what_is_not_a_whole_answer_has_an_open_fate(name):
    (result, following), _ = attempts(
        lambda received: ENDS[name] if own(received) == "one" else [answer(own(received))], "one", "two"
    )
    assert result.fate is Fate.UNKNOWN and following.fate is Fate.COMPLETE
