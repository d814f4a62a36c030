"""The stand-ins as processes of their own, for ``stage``."""

import signal
from typing import Annotated, Any

import anyio
import typer

from finchswitch.programs.signals import process_signals
from finchswitch.simulation.platform import StandInPlatform
from finchswitch.simulation.runner import StandInRunner, Traits
from finchswitch.transport.real import RealWorld

__all__ = ["app"]

app = typer.Typer(help="Stand-ins for what lies outside a fleet.")


@app.command()
def runner(
    name: str,
    incarnation: str,
    address: str,
    slots: int = 50,
    weights: str = "w1",
    history: Annotated[str, typer.Option(help="File for what is run, a line at its begin and end.")] = "",
) -> None:
    """A stand-in runner."""
    anyio.run(_runner, name, incarnation, address, Traits(slots=slots, weights=weights), history, backend="trio")


async def _runner(name: str, incarnation: str, address: str, traits: Traits, history: str) -> None:
    async with anyio.create_task_group() as group:
        world = RealWorld()
        with open(history or "/dev/null", "a", encoding="utf-8") as file:  # noqa: ASYNC230  a stand-in may block
            stand_in = StandInRunner(world, name, incarnation, traits, log=file)
            await _until_stopped(world, group, stand_in.app(), address)
            group.cancel_scope.cancel()


@app.command()
def platform(address: str) -> None:
    """A stand-in platform list."""
    anyio.run(_platform, address, backend="trio")


async def _platform(address: str) -> None:
    async with anyio.create_task_group() as group:
        await _until_stopped(RealWorld(), group, StandInPlatform().app(), address)
        group.cancel_scope.cancel()


async def _until_stopped(world: RealWorld, group: Any, asgi: Any, address: str) -> None:
    stop = anyio.Event()
    group.start_soon(world.serve_http, asgi, address, stop)
    with process_signals().listening() as signals:
        async for number in signals:
            if number is not signal.SIGHUP:
                break
