"""The check of operators' histories: each kind of fault is found and explained, and open fates are allowed."""

import pytest

from finchswitch.simulation.history import Change, History, Read
from finchswitch.simulation.linearizability import check_register
from finchswitch.simulation.register_history import (
    ConfirmedRead,
    Outcome,
    RegisterHistory,
    Sending,
    Write,
    apply_write,
    content_digest,
    register_history,
)

ACKNOWLEDGED, STALE, INVALID = Outcome.ACKNOWLEDGED, Outcome.STALE, Outcome.INVALID
NOT_TAKEN, UNCLEAR = Outcome.NOT_TAKEN, Outcome.UNCLEAR


def change_of(order):
    return {"edits": [{"kind": "services", "name": order, "value": {}}]}


def write(order, base, *sendings):
    return Write(order, base, change_of(order), sendings)


def acknowledged(order, base, sent_ms, answered_ms):
    return write(order, base, Sending(sent_ms, ACKNOWLEDGED, answered_ms, base + 1))


def digest_after(*orders):
    content = {}
    for order in orders:
        content = apply_write(content, change_of(order))
    return content_digest(content)


FIRST = acknowledged("a", 0, 0, 10)
SECOND = acknowledged("b", 1, 20, 30)
UNCLEAR_SECOND = write("b", 1, Sending(20, UNCLEAR))

VIOLATIONS = {
    "a lost acknowledged write": (
        [FIRST, SECOND],
        [ConfirmedRead(40, 50, 1)],
        "read of number 1 was sent at 40 ms, so number 2 was not in force before, yet write b was acknowledged",
    ),
    "an acknowledged write of which nothing is left": (
        [FIRST, SECOND],
        [ConfirmedRead(40, 50, 2, digest_after("a"))],
        "number 2 was read with a content that no write on base 1 leads to",
    ),
    "two winners on one base": (
        [FIRST, acknowledged("c", 0, 5, 15)],
        [],
        "2 writes on base 0 were acknowledged: a, c",
    ),
    "a refusal while the base was in force": (
        [FIRST, write("c", 1, Sending(20, STALE, 30, 1))],
        [],
        "write c on base 1, sent at 20 ms, was refused as stale while that base was in force",
    ),
    "a refusal from a state that was over": (
        [FIRST, SECOND, acknowledged("c", 2, 40, 50), write("d", 0, Sending(60, STALE, 70, 2))],
        [],
        "write d, refused as stale by number 2, was sent at 60 ms, so number 3 was not in force before",
    ),
    "a refusal of a base that was not reached, while it was in force": (
        [FIRST, SECOND, write("d", 2, Sending(60, STALE, 70, 1))],
        [],
        "write d, refused as stale by number 1, was sent at 60 ms",
    ),
    "a refusal by a number that came later": (
        [FIRST, acknowledged("b", 1, 50, 60), write("d", 0, Sending(20, STALE, 30, 2))],
        [],
        "write b on base 1 was first sent at 50 ms, so number 2 was not in force before, yet write d was refused",
    ),
    "a refusal without a number": (
        [FIRST, write("c", 0, Sending(20, STALE, 30))],
        [],
        "without the number in force",
    ),
    "a stale read": (
        [FIRST, SECOND],
        [ConfirmedRead(31, 32, 1)],
        "a confirmed read of number 1 was sent at 31 ms",
    ),
    "a read of what was not sent yet": (
        [FIRST, SECOND],
        [ConfirmedRead(12, 18, 2)],
        "write b on base 1 was first sent at 20 ms, so number 2 was not in force before",
    ),
    "numbers that go back between reads": (
        [FIRST, UNCLEAR_SECOND],
        [ConfirmedRead(25, 35, 2), ConfirmedRead(36, 40, 1)],
        "a confirmed read of number 1 was sent at 36 ms, so number 2 was not in force before,"
        " yet a confirmed read returned number 2 at 35 ms",
    ),
    "a refused write in force": (
        [FIRST, write("b", 1, Sending(20, INVALID, 30))],
        [ConfirmedRead(40, 50, 2)],
        "number 2 was in force, and no write can have led to it: b refused as invalid",
    ),
    "a write in force that was surely not taken": (
        [FIRST, write("b", 1, Sending(20, NOT_TAKEN, 30)), acknowledged("c", 2, 40, 50)],
        [],
        "number 2 was in force, and no write can have led to it: b surely not taken",
    ),
    "a refused write's content in force": (
        [FIRST, SECOND, write("c", 1, Sending(20, STALE, 40, 2))],
        [ConfirmedRead(50, 60, 2, digest_after("a", "b", "c"))],
        "number 2 was read with a content that no write on base 1 leads to",
    ),
    "an order acknowledged with two numbers": (
        [FIRST, write("b", 1, Sending(20, ACKNOWLEDGED, 30, 2), Sending(40, ACKNOWLEDGED, 50, 3))],
        [],
        "write b on base 1 was acknowledged more than once, with different numbers [2, 3]",
    ),
    "an order acknowledged out of its place": (
        [FIRST, write("b", 1, Sending(20, ACKNOWLEDGED, 30, 3))],
        [],
        "write b on base 1 was acknowledged as number 3, which is not the next one",
    ),
    "a taken order refused as stale when sent again": (
        [FIRST, write("b", 1, Sending(20, ACKNOWLEDGED, 30, 2), Sending(40, STALE, 50, 2))],
        [],
        "write b on base 1, sent at 40 ms, was refused as stale, and is acknowledged as well",
    ),
    "a taken order without an answer refused as stale when sent again": (
        [FIRST, write("b", 1, Sending(20, UNCLEAR), Sending(40, STALE, 50, 2))],
        [],
        "number 2 was in force, and no write can have led to it: b without a clear answer, b refused as stale",
    ),
    "a taken order refused as invalid when sent again": (
        [FIRST, write("b", 1, Sending(20, ACKNOWLEDGED, 30, 2), Sending(40, INVALID, 50))],
        [],
        "write b on base 1, sent at 40 ms, was refused as invalid, and is acknowledged as well",
    ),
    "one number with two contents": (
        [FIRST, UNCLEAR_SECOND, write("c", 1, Sending(20, UNCLEAR))],
        [ConfirmedRead(40, 50, 2, digest_after("a", "b")), ConfirmedRead(60, 70, 2, digest_after("a", "c"))],
        "number 2 was read with 2 different contents",
    ),
    "a number from nowhere": (
        [FIRST],
        [ConfirmedRead(40, 50, 2)],
        "number 2 was in force, and no write can have led to it: none was sent on its base",
    ),
}

SOUND = {
    "nothing at all": ([], []),
    "an unclear write that nothing shows": ([FIRST, UNCLEAR_SECOND], [ConfirmedRead(40, 50, 1, digest_after("a"))]),
    "an unclear write that is read": ([FIRST, UNCLEAR_SECOND], [ConfirmedRead(40, 50, 2, digest_after("a", "b"))]),
    "an unclear write that another builds on": ([FIRST, UNCLEAR_SECOND, acknowledged("c", 2, 40, 50)], []),
    "an unclear write that takes effect long after": (
        [FIRST, UNCLEAR_SECOND],
        [ConfirmedRead(40, 50, 1), ConfirmedRead(60, 70, 1), ConfirmedRead(80, 90, 2)],
    ),
    "two unclear writes on one base, one of them read": (
        [FIRST, UNCLEAR_SECOND, write("c", 1, Sending(21, UNCLEAR))],
        [ConfirmedRead(40, 50, 2, digest_after("a", "c"))],
    ),
    "an unclear write that loses to an acknowledged one": (
        [FIRST, UNCLEAR_SECOND, acknowledged("c", 1, 20, 30)],
        [ConfirmedRead(40, 50, 2, digest_after("a", "c"))],
    ),
    "a read beside a write, before or after it": (
        [FIRST, SECOND],
        [ConfirmedRead(21, 29, 2), ConfirmedRead(25, 35, 1)],
    ),
    "a refusal beside the write that it lost to": ([FIRST, SECOND, write("c", 1, Sending(21, STALE, 29, 2))], []),
    "a refusal of a base that is not reached yet": ([FIRST, write("c", 7, Sending(21, STALE, 29, 1))], []),
    "an order acknowledged again": (
        [
            FIRST,
            write("b", 1, Sending(20, UNCLEAR), Sending(20, ACKNOWLEDGED, 40, 2), Sending(90, ACKNOWLEDGED, 95, 2)),
        ],
        [],
    ),
    "an order surely not taken at first, and taken then": (
        [FIRST, write("b", 1, Sending(20, NOT_TAKEN, 30), Sending(40, ACKNOWLEDGED, 50, 2))],
        [ConfirmedRead(32, 38, 1)],
    ),
    "an order that was not taken, refused when sent again": (
        [FIRST, write("b", 1, Sending(20, UNCLEAR), Sending(60, STALE, 70, 2)), acknowledged("c", 1, 40, 50)],
        [],
    ),
    "a read without an answer": ([FIRST], [ConfirmedRead(40)]),
}


@pytest.mark.parametrize("what", VIOLATIONS)
def test_violation_is_found_and_explained(what):
    writes, reads, explained = VIOLATIONS[what]
    lines = check_register(RegisterHistory(writes, reads))
    assert any(explained in line for line in lines), lines
    assert all("\n" not in line for line in lines)


@pytest.mark.parametrize("what", SOUND)
def test_sound_history_passes(what):
    writes, reads = SOUND[what]
    assert check_register(RegisterHistory(writes, reads)) == []


def test_sendings_of_one_order_are_one_operation():
    content = change_of("x")
    changes = [
        Change("x", 0, 1.0, 0, -1, 9.0, content=content),
        Change("x", 0, 10.0, 200, 1, 12.0, content=content),
        Change("x", 1, 20.0, 422, -1, 22.0, content=content),
        Change("y", 1, 30.0, content=content),
    ]
    reads = [Read(40.0, 1, 50.0, "d"), Read(60.0, -1, 70.0, unanswered=True)]
    recorded = register_history(History(changes=changes, reads=reads))
    assert [(each.order, each.base, len(each.sendings)) for each in recorded.writes] == [
        ("x", 0, 2),
        ("x", 1, 1),
        ("y", 1, 1),
    ]
    assert [each.outcome for each in recorded.writes[0].sendings] == [UNCLEAR, ACKNOWLEDGED]
    assert [each.number for each in recorded.reads] == [1, None]


def test_digest_depends_neither_on_order_nor_on_empty_kinds():
    assert content_digest({"services": {"a": {}, "b": {}}, "plans": {}}) == content_digest(
        {"services": {"b": {}, "a": {}}}
    )


def test_thousands_of_operations_are_checked_in_proportion():
    writes = [acknowledged(f"w{at}", at, 10 * at, 10 * at + 5) for at in range(3_000)]
    reads = [ConfirmedRead(10 * at + 6, 10 * at + 9, at + 1) for at in range(3_000)]
    assert check_register(RegisterHistory(writes, reads)) == []
