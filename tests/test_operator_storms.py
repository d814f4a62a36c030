"""Many operators under each kind of fault once; the sweep over seeds is ``finchswitch rehearse``."""

import pytest

from finchswitch.simulation.operator_storms import OPERATOR_STORMS
from finchswitch.simulation.sweep import perform


@pytest.mark.parametrize("name", OPERATOR_STORMS)
def test_operators_get_the_answers_of_one_register(name):
    history, faults = perform(name, 1)
    assert faults == []
    sendings = [change.change_id for change in history.changes]
    assert len(sendings) > len(set(sendings)) > 30, "orders are sent again"
    assert sum(not read.unanswered for read in history.reads) > (0 if name == "operators-late" else 20)


def test_a_cut_off_owner_does_not_refuse_from_old_state():
    """Failed before owners asked a majority: an order was refused 119 ms after the next number was acknowledged."""
    _, faults = perform("operators-cut", 16)
    assert faults == []


def test_same_seed_same_answers():
    first, second = (perform("operators-lost-answers", 3)[0] for _ in range(2))
    assert first.changes == second.changes
    assert first.reads == second.reads
