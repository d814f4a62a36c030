"""A short soak with a fixed seed: real processes, signals in series, and callers that account for all requests."""

from finchswitch.platform.soak.plan import Mix, Plan
from finchswitch.platform.soak.run import run_soak


def test_a_short_soak_breaks_nothing(tmp_path):
    report = run_soak(
        Plan(seed=1, seconds=15.0, edges=5, clients=20, mix=Mix.PLANNED, series_pause_s=1.5, grace_s=12), tmp_path
    )
    assert report.breaches == {}, report.line()
    assert report.requests["whole"] > 100
    assert report.asked_of_stopping > 10 and report.signals["SIGHUP"] > 10
