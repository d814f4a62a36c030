"""transit, the routing node: its planes, its doors, and a stop that lets streams finish."""

from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from finchswitch.constants import CALLER_STILL_MS, STOP_CLOSE_MS, STOP_LOOK_MS
from finchswitch.lifecycle import PhaseEvent
from finchswitch.logs import prefix
from finchswitch.programs.signals import follow_signals, process_signals
from finchswitch.programs.startup import Startup
from finchswitch.router.asks import run_node
from finchswitch.router.doors import make_doors
from finchswitch.router.node import Node
from finchswitch.transport import World
from finchswitch.transport.real import RealWorld

__all__ = ["run_transit", "serve_transit", "stop_node"]

_log = prefix("transit")


async def run_transit(startup: Startup) -> None:
    async with anyio.create_task_group() as group:
        world = RealWorld()
        node = Node(world, startup, group)
        await serve_transit(world, node, make_doors(node), group, lambda: startup.seeds)


async def serve_transit(world: World, node: Node, doors: Any, group: TaskGroup, seeds: Callable[[], list[str]]) -> None:
    """Run a node behind its doors until it has stopped as asked; on SIGHUP the seeds are read again, in any phase."""
    stop, closed = anyio.Event(), anyio.Event()
    group.start_soon(run_node, node)
    group.start_soon(_serve, world, doors, node.startup.http, stop, closed)
    with process_signals().listening() as signals:
        async with anyio.create_task_group() as following:
            following.start_soon(
                follow_signals, signals, node.lifecycle, lambda: node.member.controls.new_seeds(seeds())
            )
            node.lifecycle.move(PhaseEvent.OPENED)
            await node.lifecycle.stop_asked.wait()
            node.lifecycle.move(PhaseEvent.STOP)
            _log.notice("{} requests under way.", len(node.underway))
            await stop_node(node, stop, closed)
            node.lifecycle.move(PhaseEvent.STOPPED)
            following.cancel_scope.cancel()
    group.cancel_scope.cancel()


async def _serve(world: World, doors: Any, address: str, stop: anyio.Event, closed: anyio.Event) -> None:
    await world.serve_http(doors, address, stop)
    closed.set()


async def stop_node(node: Node, stop: anyio.Event, closed: anyio.Event) -> None:
    """Unready first, then no seats, then the streams under way to their end, then the door and the leave."""
    began_ms, bounds = node.world.now_ms(), node.bounds
    node.stopping = True
    if node.has_granted:
        await node.world.sleep(bounds.stop_settle_ms)
    node.member.stop()
    most_ms: float = node.configuration().settings.answer_most_ms + 2 * CALLER_STILL_MS
    if bounds.grace_ms is not None:
        most_ms = began_ms + bounds.grace_ms - node.world.now_ms()
    with anyio.move_on_after(most_ms / 1000):
        while node.underway:
            await node.world.sleep(STOP_LOOK_MS)
    node.lifecycle.answers_cut = len(node.underway)
    if node.underway:
        _log.warning("The time to stop is over with {} requests under way; they are cut.", len(node.underway))
    stop.set()
    close_ms = STOP_CLOSE_MS if bounds.grace_ms is not None else most_ms
    async with anyio.create_task_group() as group:
        group.start_soon(node.member.leave)
        with anyio.move_on_after(0.0 if node.underway else close_ms / 1000):
            await closed.wait()
    _log.info("Left.")
