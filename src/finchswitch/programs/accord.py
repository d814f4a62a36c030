"""accord, the control node: a council on its data folder and the operators' desk."""

import signal
from pathlib import Path

import anyio

from finchswitch.accord.asks import run_council
from finchswitch.accord.council import Council
from finchswitch.accord.desk import make_desk
from finchswitch.constants import CHANGE_WAIT_MS
from finchswitch.logs import prefix
from finchswitch.programs.startup import Startup
from finchswitch.shelf import RealDisk
from finchswitch.wire.real import RealWorld

__all__ = ["run_accord"]

_log = prefix("accord")


async def run_accord(startup: Startup) -> None:
    async with anyio.create_task_group() as group:
        world = RealWorld()
        council = Council(world, RealDisk(Path(startup.data)), startup, group)
        stop, closed = anyio.Event(), anyio.Event()
        group.start_soon(run_council, council)
        group.start_soon(_serve, world, council, startup.http, stop, closed)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                _log.info("Stopping.")
                break
        stop.set()
        with anyio.move_on_after(CHANGE_WAIT_MS / 1000):
            await closed.wait()  # a change under way gets its answer
        group.cancel_scope.cancel()


async def _serve(world: RealWorld, council: Council, address: str, stop: anyio.Event, closed: anyio.Event) -> None:
    await world.serve_http(make_desk(council), address, stop)
    closed.set()
