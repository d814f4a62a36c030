"""Histories drawn from a model register: sound ones pass, and each fault put into one is found."""

from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from finchswitch.simulation.linearizability import check_register
from finchswitch.simulation.register_history import (
    ConfirmedRead,
    Outcome,
    RegisterHistory,
    Sending,
    Write,
    apply_write,
    content_digest,
)

STEP_MS = 10.0  # between the moments at which two operations take effect

KINDS = st.sampled_from(["taken", "taken", "taken", "stale", "future", "invalid", "not taken", "lost", "read"])
STEPS = st.lists(
    st.tuples(
        KINDS,
        st.floats(0.5, 60.0),  # from the call to the effect
        st.floats(0.5, 60.0),  # from the effect to the answer
        st.booleans(),  # whether the answer gets lost
        st.booleans(),  # whether the order is sent again after it
    ),
    min_size=6,
    max_size=40,
)


@dataclass
class Model:
    """A register that takes operations one after another, and what operators saw of it."""

    number: int = 0
    content: dict = field(default_factory=dict)
    writes: list[Write] = field(default_factory=list)
    reads: list[ConfirmedRead] = field(default_factory=list)

    def step(self, at, kind, before_ms, after_ms, lost, again):
        at_ms = STEP_MS * (at + 10)
        call = (at_ms - before_ms, at_ms + after_ms)
        if kind == "read":
            digest = content_digest(self.content)
            read = ConfirmedRead(call[0]) if lost else ConfirmedRead(*call, self.number, digest)
            self.reads.append(read)
            return
        change = {"edits": [{"kind": "services", "name": f"w{at}", "value": {}}]}
        base = self.number
        if kind == "stale":
            base = max(0, self.number - 1 - at % 3)
        elif kind == "future":
            base = self.number + 1_000
        sendings = [self._sending(kind, base, change, call, lost)]
        if again and kind == "taken":
            later_ms = call[1] + 5 * at
            sendings.append(Sending(later_ms, Outcome.ACKNOWLEDGED, later_ms + 3, base + 1))
        self.writes.append(Write(f"w{at}", base, change, tuple(sendings)))

    def _sending(self, kind, base, change, call, lost):
        sent_ms, answered_ms = call
        if kind == "taken":
            self.number, self.content = self.number + 1, apply_write(self.content, change)
        if lost or kind == "lost":
            return Sending(sent_ms, Outcome.UNCLEAR)
        if kind == "taken":
            return Sending(sent_ms, Outcome.ACKNOWLEDGED, answered_ms, base + 1)
        if base != self.number and kind in ("stale", "future"):
            return Sending(sent_ms, Outcome.STALE, answered_ms, self.number)
        return Sending(sent_ms, Outcome.INVALID if kind == "invalid" else Outcome.NOT_TAKEN, answered_ms)


def history_of(steps):
    """A drawn history, with two acknowledged writes and a read in front, so that each fault has something to bite."""
    model = Model()
    model.step(-8, "taken", 1.0, 1.0, False, False)
    model.step(-7, "taken", 1.0, 1.0, False, False)
    model.step(-6, "read", 1.0, 1.0, False, False)
    for at, step in enumerate(steps):
        model.step(at, *step)
    return RegisterHistory(model.writes, model.reads)


def end_ms(history):
    sent = [sending.sent_ms for write in history.writes for sending in write.sendings]
    answered = [sending.answered_ms for write in history.writes for sending in write.sendings]
    return 1_000 + max([*sent, *(each for each in answered if each < float("inf"))])


def first_taken(history):
    return next(write for write in history.writes if write.acknowledged)


def with_writes(history, *writes):
    return replace(history, writes=[*history.writes, *writes])


def with_read(history, read):
    return replace(history, reads=[*history.reads, read])


def stale_read(history):
    return with_read(history, ConfirmedRead(end_ms(history), end_ms(history) + 1, 1))


def early_read(history):
    newest = max(write.number for write in history.writes if write.acknowledged)
    return with_read(history, ConfirmedRead(-200.0, -190.0, newest))


def wrong_content(history):
    return with_read(history, ConfirmedRead(end_ms(history), end_ms(history) + 1, 2, content_digest({"x": {"y": 1}})))


def number_from_nowhere(history):
    return with_read(history, ConfirmedRead(end_ms(history), end_ms(history) + 1, 700))


def two_winners(history):
    other = replace(first_taken(history), order="other")
    return with_writes(history, other)


def lost_write(history):
    """An acknowledged write vanishes: what was refused is all that was sent on its base."""
    lost = first_taken(history)
    refused = replace(lost, sendings=(Sending(0.0, Outcome.INVALID, 1.0),))
    return replace(history, writes=[refused if write is lost else write for write in history.writes])


def refused_when_sent_again(history):
    taken, late_ms = first_taken(history), end_ms(history)
    again = Sending(late_ms, Outcome.STALE, late_ms + 1, max(w.number for w in history.writes if w.acknowledged))
    sendings = (*taken.sendings, again)
    return replace(history, writes=[replace(w, sendings=sendings) if w is taken else w for w in history.writes])


def acknowledged_elsewhere(history):
    taken, late_ms = first_taken(history), end_ms(history)
    sendings = (*taken.sendings, Sending(late_ms, Outcome.ACKNOWLEDGED, late_ms + 1, taken.number + 1))
    return replace(history, writes=[replace(w, sendings=sendings) if w is taken else w for w in history.writes])


def untrue_refusal(history):
    late_ms = end_ms(history)
    return with_writes(history, Write("late", 9_000, {}, (Sending(late_ms, Outcome.STALE, late_ms + 1, 1),)))


def refusal_of_what_stands(history):
    late_ms = end_ms(history)
    return with_writes(history, Write("late", 9_000, {}, (Sending(late_ms, Outcome.STALE, late_ms + 1, 9_000),)))


FAULTS = [
    stale_read,
    early_read,
    wrong_content,
    number_from_nowhere,
    two_winners,
    lost_write,
    refused_when_sent_again,
    acknowledged_elsewhere,
    untrue_refusal,
    refusal_of_what_stands,
]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(STEPS)
def test_a_history_of_the_model_passes(steps):
    assert check_register(history_of(steps)) == []


@pytest.mark.parametrize("fault", FAULTS)
@settings(max_examples=60, deadline=None, derandomize=True)
@given(STEPS)
def test_a_fault_is_found(fault, steps):
    assert check_register(fault(history_of(steps))) != []
