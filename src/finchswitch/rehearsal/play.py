"""Playing a scene: one theatre, virtual time, a fixed order of tasks. The same seed gives the same history."""

from collections.abc import Awaitable, Callable

import anyio
import trio
from trio.testing import MockClock

from finchswitch.rehearsal.deployments import Deployment
from finchswitch.rehearsal.history import History
from finchswitch.rehearsal.theatre import Theatre

__all__ = ["play"]


def play(scene: Callable[[Theatre], Awaitable[None]], deployment: Deployment, seed: int) -> History:
    """Run a scene in virtual time."""
    setattr(trio._core._run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)  # noqa: B010
    trio._core._run._r.seed(seed)

    async def run() -> History:
        async with anyio.create_task_group() as group:
            theatre = Theatre(deployment, seed, group)
            theatre.start_all()
            await scene(theatre)
            history = theatre.close()
            group.cancel_scope.cancel()
        return history

    options = {"clock": MockClock(autojump_threshold=0)}
    return anyio.run(run, backend="trio", backend_options=options)
