"""Whatever clients, runners and the list send: it is read, or it ends in a clear error; nothing else is raised."""

import json
from types import SimpleNamespace

import anyio
import httpx
import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from starlette.datastructures import Headers

from finchswitch.errors import FleetError
from finchswitch.platform import calls
from finchswitch.platform.calls import PlatformDialect, read_count, read_parts, read_report
from finchswitch.platform.events import EventError, event_number, events_of
from finchswitch.platform.instances import read_page
from finchswitch.router.dialect import AttemptError, Fate
from finchswitch.simulation.scripted_runner import make_call

KNOWN = SimpleNamespace(runner="r-1", incarnation="i-1", address="10.0.0.1:80")
LATIN = st.text(st.characters(max_codepoint=255, exclude_characters="\r\n\0"))
NUMBERS = st.one_of(st.integers(-5, 10**30).map(str), st.sampled_from(["\u00b2", "\u0663", "1e9", "nan", "9" * 5_000]))
HEADER_NUMBERS = NUMBERS.filter(lambda text: all(ord(each) < 256 for each in text))
EVENT_BYTES = st.lists(st.sampled_from([b"id: ", b"id:", b"data: a", b"\n", b"\n\n", b"\r\n\r\n", b"7", b"8", b"\xff"]))
JSON = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text()),
    lambda inner: st.one_of(st.lists(inner), st.dictionaries(st.text(), inner)),
    max_leaves=10,
)


@given(st.one_of(LATIN, NUMBERS))
@example("9" * 400)
@example("\u00b2")
def test_a_count_is_read_or_is_none(text):
    count = read_count(text)
    assert count is None or 0 <= count < 10**18


@given(LATIN, st.one_of(LATIN, HEADER_NUMBERS), st.one_of(LATIN, HEADER_NUMBERS))
@example("5c:\u00b2", "1,2", "")
def test_the_words_of_a_request_are_read(prefix, usage, model):
    for name, tokens in read_parts(prefix):
        assert isinstance(name, str) and tokens >= 0
    headers = Headers({"x-prompt-prefix": prefix, "x-token-usage": usage, "x-model": model})
    opening = calls._opening("s", "id", headers)
    assert opening.opening_tokens >= 0 and opening.own_tokens >= 0 and opening.answer_tokens >= 0


@given(st.one_of(st.text(), st.binary(), NUMBERS))
def test_an_events_number_is_read_or_is_none(text):
    try:
        assert event_number(text) is None or event_number(text) >= 0
    except EventError:
        assert len(text) > 18


async def listed(chunks, after):
    async def coming():
        for each in chunks:
            yield each

    return [each async for each in events_of(coming(), True, after)]


@given(st.lists(st.one_of(st.binary(), EVENT_BYTES.map(b"".join))), st.one_of(st.none(), st.just("7")))
def test_a_stream_passes_as_it_is_or_ends_in_an_error(chunks, after):
    try:
        got = anyio.run(listed, chunks, after)
    except EventError:
        return
    assert b"".join(data for data, _ in got) == b"".join(chunks)
    numbers = [int(number) for _, number in got if number is not None]
    assert numbers == sorted(set(numbers)) and (after is None or all(each > 7 for each in numbers))


@given(
    st.lists(st.integers(1, 60), unique=True).map(sorted), st.lists(st.integers(1, 40)), st.sampled_from(["\n", "\r\n"])
)
def test_however_a_stream_is_cut_into_chunks_its_events_are_the_same(numbers, cuts, end):
    whole = "".join(f"id: {each}{end}data: x{end}{end}" for each in numbers).encode()
    chunks, at = [], 0
    for cut in cuts:
        chunks.append(whole[at : at + cut])
        at += cut
    chunks.append(whole[at:])
    got = anyio.run(listed, chunks, None)
    assert b"".join(data for data, _ in got) == whole
    assert all(data.endswith((end * 2).encode()) and number is not None for data, number in got)
    assert [number for _, number in got][-1:] == [str(each) for each in numbers[-1:]]


@pytest.mark.parametrize(
    "events, after",
    [
        (b"id: 1\n\nid: 1\n\n", None),
        (b"id: 2\n\nid: 1\n\n", None),
        (b"id: 5\n\nid: 6\n\n", "5"),
        (b"id: 1\n\n", "5"),
        (b"id: " + b"9" * 5_000 + b"\n\n", None),
        (b"x" * 2_000_000, None),
    ],
)
def test_pieces_of_two_runs_are_not_put_together(events, after):
    with pytest.raises(EventError):
        anyio.run(listed, [events], after)


@pytest.mark.parametrize(
    "events, number",
    [
        (b"id: 1\ndata: a\n\n", "1"),
        (b"id: 1\ndata: a\n\ndata: b\n\n", None),
        (b"id: x\ndata: a\n\n", None),
        (b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2"),
    ],
)
def test_an_answer_is_taken_up_only_behind_an_event_with_a_number(events, number):
    assert anyio.run(listed, [events], None) == [(events, number)]


def test_a_body_that_is_no_stream_takes_nothing_up():
    async def coming():
        yield b"x"

    async def run():
        return [each async for each in events_of(coming(), False, "5")]

    with pytest.raises(EventError):
        anyio.run(run)


HEADER_NAMES = ("X-Attempt-Id", "X-Server-Seal", "X-Not-Executed", "Content-Length", "Content-Encoding", "X-Other")


@given(
    st.integers(200, 999),
    st.lists(st.tuples(st.sampled_from(HEADER_NAMES), st.one_of(LATIN, st.just("one")))),
)
def test_a_head_is_that_of_the_request_or_has_a_clear_error(status, headers):
    raw = [(name.encode(), value.encode("latin-1")) for name, value in headers]
    ids = [value for name, value in headers if name == "X-Attempt-Id"]
    names = {name for name, _ in headers}
    try:
        PlatformDialect().check_head(httpx.Response(status, headers=raw), KNOWN, make_call("one"))
    except AttemptError as error:
        refused = status >= 400 and ("X-Not-Executed" in names or status == 421) and "X-Server-Seal" not in names
        assert (error.fate is Fate.NOT_RUN) == (ids == ["one"] and refused)
        return
    assert ids == ["one"] and "X-Not-Executed" not in names
    assert status >= 300 or "X-Server-Seal" in names


@given(st.one_of(JSON.map(json.dumps), st.text(), st.just("[" * 50_000)), st.sampled_from([200, 204, 503]))
def test_a_report_is_read_or_has_a_clear_error(text, status):
    try:
        assert read_report(httpx.Response(status, text=text), "r-1") >= 0
    except FleetError:
        return


def test_an_answer_to_a_request_is_no_report():
    with pytest.raises(FleetError):
        read_report(httpx.Response(200, headers={"X-Attempt-Id": "one"}, text='{"active": 3}'), "r-1")
    assert read_report(httpx.Response(200, text='{"active": 3}'), "r-1") == 3.0


ADDRESSES = [
    "10.0.0.1:80",
    "10.0.0.1:x",
    ":80",
    "h:99999999",
    "h:0",
    "a b:1",
    "\0:1",
    "[:1",
    "a/b:1",
    "a@b:1",
    "xn--:1",
]
ROW = st.fixed_dictionaries(
    {
        "instance_id": JSON,
        "target_service": JSON,
        "address": JSON,
        "state": JSON,
        "capacity_slots": st.one_of(JSON, st.just(float("inf"))),
    }
)


def check_page(page):
    """The page is read into rows to which a request can be worded, or refused."""
    try:
        rows, token = read_page(page, "p")
    except FleetError:
        return
    assert token is None or isinstance(token, str)
    for row in rows:
        known = SimpleNamespace(**{**vars(KNOWN), "address": row.address})
        words = calls.RequestWords("POST", b"/", [])
        PlatformDialect().request(make_call("one", words), known, 100.0, None)


@given(st.one_of(JSON, st.fixed_dictionaries({"instances": st.lists(st.one_of(ROW, JSON)), "next_token": JSON})))
def test_a_page_of_the_list_is_read_or_has_a_clear_error(page):
    check_page(page)


@given(st.one_of(st.sampled_from(ADDRESSES), st.text().map("{}:80".format)))
@example("\u00e9\udc80:1")
@example("\0:1")
@example("xn--:1")
def test_an_address_can_be_dialled_or_its_page_is_refused(address):
    row = {"instance_id": "i", "target_service": "s", "address": address, "state": "ready"}
    check_page({"instances": [row], "next_token": None})
