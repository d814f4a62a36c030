"""transit, the routing node: its planes, its doors, and a stop that lets streams finish."""

import signal

import anyio

from finchswitch.constants import CALLER_STILL_MS, STOP_SETTLE_MS
from finchswitch.logs import prefix
from finchswitch.programs.startup import Startup
from finchswitch.transit.asks import run_node
from finchswitch.transit.doors import make_doors
from finchswitch.transit.node import Node
from finchswitch.wire import World
from finchswitch.wire.real import RealWorld

__all__ = ["run_transit", "stop_node"]

_log = prefix("transit")


async def run_transit(startup: Startup) -> None:
    async with anyio.create_task_group() as group:
        world = RealWorld()
        node = Node(world, startup, group)
        stop, closed = anyio.Event(), anyio.Event()
        group.start_soon(run_node, node)
        group.start_soon(_serve, world, node, startup.http, stop, closed)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                _log.info("Stopping; {} requests under way.", len(node.underway))
                break
        await stop_node(node, stop, closed)
        group.cancel_scope.cancel()


async def _serve(world: World, node: Node, address: str, stop: anyio.Event, closed: anyio.Event) -> None:
    await world.serve_http(make_doors(node), address, stop)
    closed.set()


async def stop_node(node: Node, stop: anyio.Event, closed: anyio.Event) -> None:
    """Unready first, then no seats, then the streams under way to their end, then the leave."""
    node.stopping = True
    await node.world.sleep(STOP_SETTLE_MS)
    node.member.stop()
    stop.set()
    with anyio.move_on_after((node.creed().settings.answer_most_ms + 2 * CALLER_STILL_MS) / 1000):
        await closed.wait()
    await node.member.leave()
    _log.info("Left.")
