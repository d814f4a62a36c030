"""Shared by the tests: quiet logs, and a way to run one scene in virtual time."""

from collections.abc import Awaitable, Callable, Iterator

import logbook
import pytest

from finchswitch.rehearsal.deployments import VILLAGE
from finchswitch.rehearsal.history import History
from finchswitch.rehearsal.play import play
from finchswitch.rehearsal.theatre import Theatre


@pytest.fixture(autouse=True)
def quiet() -> Iterator[None]:
    with logbook.NullHandler().applicationbound():
        yield


@pytest.fixture
def staged() -> Callable[[Callable[[Theatre], Awaitable[None]]], History]:
    def run(scene: Callable[[Theatre], Awaitable[None]], seed: int = 1) -> History:
        return play(scene, VILLAGE, seed)

    return run
