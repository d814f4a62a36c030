"""Shared by the tests: quiet logs, and a way to run one scene in virtual time."""

from collections.abc import Awaitable, Callable, Iterator

import logbook
import pytest

from finchswitch.simulation.cluster import Cluster
from finchswitch.simulation.deployments import VILLAGE
from finchswitch.simulation.history import History
from finchswitch.simulation.play import play


@pytest.fixture(autouse=True)
def quiet() -> Iterator[None]:
    with logbook.NullHandler().applicationbound():
        yield


@pytest.fixture
def staged() -> Callable[[Callable[[Cluster], Awaitable[None]]], History]:
    def run(scene: Callable[[Cluster], Awaitable[None]], seed: int = 1) -> History:
        return play(scene, VILLAGE, seed)

    return run
