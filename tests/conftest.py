"""Shared by the tests: quiet logs, a way to run one scene in virtual time, and the tests that are known to fail."""

from collections.abc import Awaitable, Callable, Iterator

import logbook
import pytest

from finchswitch.simulation.cluster import Cluster
from finchswitch.simulation.deployments import VILLAGE
from finchswitch.simulation.history import History
from finchswitch.simulation.play import play
from known_red import KNOWN_RED_FILE, mark_known_red, read_known_red


@pytest.fixture(autouse=True)
def quiet() -> Iterator[None]:
    with logbook.NullHandler().applicationbound():
        yield


@pytest.fixture
def staged() -> Callable[[Callable[[Cluster], Awaitable[None]]], History]:
    def run(scene: Callable[[Cluster], Awaitable[None]], seed: int = 1) -> History:
        return play(scene, VILLAGE, seed)

    return run


# Tests that take a minute and more: they begin first, so that the whole run does not wait for one of them at its end.
LONG = (
    "test_a_planned_stop_waits_for_an_answer_of_over_a_minute",
    "test_full_size",
    "test_thousand_changes",
    "test_platform_soak",
)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    long = [item for item in items if any(name in item.nodeid for name in LONG)]
    short = [item for item in items if item not in long]
    paired = [each for pair in zip(long, short, strict=False) for each in pair]  # workers begin with two tests each
    items[:] = [*paired, *short[len(long) :]]
    known = read_known_red(KNOWN_RED_FILE)
    collected_whole = not config.invocation_params.args or str(config.invocation_params.args[0]).startswith("-")
    mark_known_red(items, known, must_exist=collected_whole)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for each in read_known_red(KNOWN_RED_FILE):
        terminalreporter.write_line(f"KNOWN RED, not run: {each.line()}")
