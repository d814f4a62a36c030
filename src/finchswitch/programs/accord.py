"""accord, the control node: a council on its data folder and the operators' desk."""

import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskGroup

from finchswitch.accord.asks import run_council
from finchswitch.accord.council import Council
from finchswitch.accord.desk import make_desk
from finchswitch.constants import CHANGE_WAIT_MS
from finchswitch.logs import prefix
from finchswitch.programs.startup import Startup
from finchswitch.shelf import RealDisk
from finchswitch.wire.real import RealWorld

__all__ = ["run_accord", "serve_accord"]

_log = prefix("accord")


async def run_accord(startup: Startup) -> None:
    async with anyio.create_task_group() as group:
        await serve_accord(RealWorld(), startup, group, make_desk, lambda: startup.seeds)


async def serve_accord(
    world: RealWorld,
    startup: Startup,
    group: TaskGroup,
    desk: Callable[[Council], Any],
    seeds: Callable[[], list[str]],
) -> None:
    """Run a control node behind its desk until SIGTERM; on SIGHUP the seeds are read again."""
    council = Council(world, RealDisk(Path(startup.data)), startup, group)
    stop, closed = anyio.Event(), anyio.Event()
    group.start_soon(run_council, council)
    group.start_soon(_serve, world, desk(council), startup.http, stop, closed)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for each in signals:
            if each is not signal.SIGHUP:
                break
            council.kindred.new_seeds(seeds())
    _log.info("Stopping.")
    stop.set()
    with anyio.move_on_after(CHANGE_WAIT_MS / 1000):
        await closed.wait()  # a change under way gets its answer
    group.cancel_scope.cancel()


async def _serve(world: RealWorld, desk: Any, address: str, stop: anyio.Event, closed: anyio.Event) -> None:
    await world.serve_http(desk, address, stop)
    closed.set()
