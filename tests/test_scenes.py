"""Each kind of failure once, under a named seed; the sweep is ``finchswitch rehearse``."""

import json
from dataclasses import asdict

import pytest

from finchswitch.simulation.scenes import SCENES
from finchswitch.simulation.storms import STORMS
from finchswitch.simulation.sweep import perform


@pytest.mark.parametrize("name", SCENES)
def test_scene_holds(name):
    history, faults = perform(name, 1)
    assert faults == []
    assert len(history.calls) > 10 and len(history.changes) > 1


@pytest.mark.parametrize("seed", range(1, 6))
@pytest.mark.parametrize("name", STORMS)
def test_storm_holds(name, seed):
    history, faults = perform(name, seed)
    assert faults == []
    assert sum(change.status == 200 for change in history.changes) > 10


def test_same_seed_same_history():
    first, second = (perform("races", 7)[0] for _ in range(2))
    assert [json.dumps(asdict(call)) for call in first.calls] == [json.dumps(asdict(call)) for call in second.calls]
    assert [asdict(change) for change in first.changes] == [asdict(change) for change in second.changes]
