"""Wall clocks that jump decide nothing: a scene under them has the same history as without."""

import json
import time
from dataclasses import asdict
from random import Random

from finchswitch.simulation.sweep import perform


def test_jumping_wall_clocks_change_nothing(monkeypatch):
    def seen():
        history, faults = perform("core-kills", 3)
        assert faults == []
        return json.dumps([asdict(each) for each in [*history.calls, *history.changes, *history.runs]])

    before, chance, real, asked = seen(), Random(1), time.time, []

    def jumping():
        asked.append(1)
        return real() + chance.uniform(-1e7, 1e7)

    for module in ("hypercorn.config", "hypercorn.protocol.http_stream"):
        monkeypatch.setattr(f"{module}.time", jumping, raising=False)
    monkeypatch.setattr(time, "time", jumping)
    assert seen() == before
    assert asked
