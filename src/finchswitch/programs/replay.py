"""replay: sends the requests of a HAR file to a routing node at the recorded pace."""

from pathlib import Path
from typing import Annotated

import anyio
import httpx
import typer
from returns.result import Failure

from finchswitch.simulation.replay import Recording, read_recording
from finchswitch.simulation.replay import replay as replay_recording
from finchswitch.transport.real import RealWorld

__all__ = ["replay"]


def replay(
    file: Annotated[Path, typer.Argument(help="A HAR file.")],
    to: Annotated[str, typer.Option(help="IP:port of a routing node's door.")],
    speed: Annotated[float, typer.Option(help="Times the recorded pace.", min=0.01)] = 1.0,
) -> None:
    """Replay a HAR file's chat completions through the callers' interface."""
    read = read_recording(file)
    if isinstance(read, Failure):
        typer.echo(read.failure(), err=True)
        raise typer.Exit(2)
    outcomes = anyio.run(_run, to, read.unwrap(), speed, backend="trio")
    counted = ", ".join(f"{count} {outcome}" for outcome, count in sorted(outcomes.items()))
    typer.echo(f"{len(read.unwrap().requests)} sent, {read.unwrap().skipped} not ours; {counted or 'nothing'}")
    raise typer.Exit(0 if set(outcomes) <= {"complete"} else 1)


async def _run(to: str, recording: Recording, speed: float) -> dict[str, int]:
    world = RealWorld()
    async with httpx.AsyncClient(transport=world.http_transport(), trust_env=False) as client:
        return dict(await replay_recording(world, client, to, recording, speed))
