"""accord, the control node: a control on its data folder and the operators' desk."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskGroup

from finchswitch.constants import CHANGE_WAIT_MS, LEAVE_WAIT_MS, STOP_CLOSE_MS
from finchswitch.control.control_node import ControlNode
from finchswitch.control.leaving import leave
from finchswitch.control.operator_api import make_operator_api
from finchswitch.control.server import run_control_node
from finchswitch.lifecycle import PhaseEvent
from finchswitch.programs.signals import follow_signals, process_signals
from finchswitch.programs.startup import Startup
from finchswitch.storage import RealDisk
from finchswitch.transport.real import RealWorld

__all__ = ["run_accord", "serve_accord", "stop_control_node"]


async def run_accord(startup: Startup) -> None:
    async with anyio.create_task_group() as group:
        await serve_accord(RealWorld(), startup, group, make_operator_api, lambda: startup.seeds)


async def serve_accord(
    world: RealWorld,
    startup: Startup,
    group: TaskGroup,
    desk: Callable[[ControlNode], Any],
    seeds: Callable[[], list[str]],
) -> None:
    """Run a control node behind its desk until it has stopped as asked; on SIGHUP the seeds are read again."""
    control = ControlNode(world, RealDisk(Path(startup.data)), startup, group)
    stop, closed = anyio.Event(), anyio.Event()
    group.start_soon(run_control_node, control)
    group.start_soon(_serve, world, desk(control), startup.http, stop, closed)
    with process_signals().listening() as signals:
        async with anyio.create_task_group() as following:
            following.start_soon(
                follow_signals, signals, control.lifecycle, lambda: control.control_peers.new_seeds(seeds())
            )
            control.lifecycle.move(PhaseEvent.OPENED)
            await control.lifecycle.stop_asked.wait()
            control.lifecycle.move(PhaseEvent.STOP)
            await stop_control_node(control, stop, closed)
            control.lifecycle.move(PhaseEvent.STOPPED)
            following.cancel_scope.cancel()
    group.cancel_scope.cancel()


async def stop_control_node(control: ControlNode, stop: anyio.Event, closed: anyio.Event) -> bool:
    """Close the desk and hand over within the deployment's grace time; whether all was handed over."""
    began_ms, grace_ms = control.world.now_ms(), control.bounds.grace_ms
    stop.set()
    most_ms = LEAVE_WAIT_MS if grace_ms is None else grace_ms
    left = await leave(control, most_ms - STOP_CLOSE_MS)
    open_ms = min(began_ms + CHANGE_WAIT_MS, began_ms + most_ms) - control.world.now_ms()
    with anyio.move_on_after(max(STOP_CLOSE_MS, open_ms) / 1000):
        await closed.wait()  # a change under way gets its answer
    return left


async def _serve(world: RealWorld, desk: Any, address: str, stop: anyio.Event, closed: anyio.Event) -> None:
    await world.serve_http(desk, address, stop)
    closed.set()
