"""accord, the control node: a council on its data folder and the operators' desk."""

import signal
from pathlib import Path

import anyio

from finchswitch.accord.asks import run_council
from finchswitch.accord.council import Council
from finchswitch.accord.desk import make_desk
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
        stop = anyio.Event()
        group.start_soon(run_council, council)
        group.start_soon(world.serve_http, make_desk(council), startup.http, stop)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                _log.info("Stopping.")
                break
        stop.set()
        group.cancel_scope.cancel()
