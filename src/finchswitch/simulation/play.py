"""Playing a scene: one cluster, virtual time, a fixed order of tasks. The same seed gives the same history."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import trio
from trio.testing import MockClock

from finchswitch.simulation.cluster import Cluster
from finchswitch.simulation.deployments import Deployment
from finchswitch.simulation.history import History

__all__ = ["in_virtual_time", "play"]

_Kept = TypeVar("_Kept")


def in_virtual_time(run: Callable[[], Awaitable[_Kept]], seed: int) -> _Kept:
    """Run to the end on a clock that jumps to whatever comes next, with tasks in an order that the seed fixes."""
    setattr(trio._core._run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)  # noqa: B010
    trio._core._run._r.seed(seed)
    return anyio.run(run, backend="trio", backend_options={"clock": MockClock(autojump_threshold=0)})


def play(scene: Callable[[Cluster], Awaitable[None]], deployment: Deployment, seed: int) -> History:
    """Run a scene in virtual time."""

    async def run() -> History:
        async with anyio.create_task_group() as group:
            cluster = Cluster(deployment, seed, group)
            cluster.start_all()
            await scene(cluster)
            history = cluster.close()
            group.cancel_scope.cancel()
        return history

    return in_virtual_time(run, seed)
