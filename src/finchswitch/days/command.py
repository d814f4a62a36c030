"""The command that writes days into a folder, one file a day."""

from pathlib import Path

import typer

from finchswitch.days.kinds import read_kinds
from finchswitch.days.shapes import Shape, draw_days
from finchswitch.days.toml import write_day
from finchswitch.errors import FleetError

__all__ = ["write_days"]


def write_days(kinds_file: Path, out: Path, shape: Shape, seed: int, count: int) -> int:
    """Writes the days and prints their files' names; the exit code."""
    try:
        kinds = read_kinds(kinds_file.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, FleetError) as error:
        typer.echo(f"{kinds_file}: {error}", err=True)
        return 2
    out.mkdir(parents=True, exist_ok=True)
    for day in draw_days(kinds, shape, seed, count):
        path = out / f"{day.name}.toml"
        path.write_text(write_day(day), encoding="utf-8")
        typer.echo(str(path))
    return 0
