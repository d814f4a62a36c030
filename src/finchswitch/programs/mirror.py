"""mirror: compares what two nodes believe, live or saved, and prints the differences.

With ``--watch`` it looks again every second and says how long each difference has stood. Exit codes: 0 the same,
1 differing, 2 unreadable input, 3 a node that cannot be reached.
"""

import json
import time
from pathlib import Path
from typing import Annotated, Any

import httpx
import typer

__all__ = ["differences", "mirror"]

_COMPARED = ("generations", "members", "runners", "homes", "hot", "plans", "fences")
_OWN_SIGHT = ("seats", "openings", "weights")


def differences(one: dict[str, Any], two: dict[str, Any]) -> dict[str, tuple[Any, Any]]:
    """Where two beliefs differ, by path; what a node only infers from its own prompts is left out.

    >>> differences({"generations": {"creed": 1}}, {"generations": {"creed": 2}})
    {'generations.creed': (1, 2)}
    """
    found: dict[str, tuple[Any, Any]] = {}
    for name in _COMPARED:
        _compare(name, one.get(name), two.get(name), found)
    return found


def _compare(path: str, one: Any, two: Any, found: dict[str, tuple[Any, Any]]) -> None:
    if isinstance(one, dict) and isinstance(two, dict):
        for name in sorted(set(one) | set(two)):
            if name not in _OWN_SIGHT:
                _compare(f"{path}.{name}", one.get(name), two.get(name), found)
    elif one != two:
        found[path] = (one, two)


def _beliefs(source: str) -> dict[str, Any]:
    try:
        if Path(source).is_file():
            content = json.loads(Path(source).read_text("utf-8"))
        else:
            content = httpx.get(f"http://{source}/beliefs", timeout=5, trust_env=False).json()
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        typer.echo(f"{source}: cannot be reached: {error!r}", err=True)
        raise typer.Exit(3) from None
    except (ValueError, OSError) as error:
        typer.echo(f"{source}: cannot be read: {error}", err=True)
        raise typer.Exit(2) from None
    missing = [name for name in ("name", *_COMPARED) if not isinstance(content, dict) or name not in content]
    if missing:
        typer.echo(f"{source}: not a node's beliefs, lacks {', '.join(missing)}", err=True)
        raise typer.Exit(2)
    result: dict[str, Any] = content
    return result


def mirror(
    one: Annotated[str, typer.Argument(help="IP:port of a routing node, or a file of saved beliefs.")],
    two: Annotated[str, typer.Argument(help="The other.")],
    watch: Annotated[int, typer.Option(help="Seconds to keep looking.")] = 0,
    as_json: Annotated[bool, typer.Option("--json", help="Print as JSON.")] = False,
) -> None:
    """Compare what two nodes believe."""
    since: dict[str, float] = {}
    until_s = time.monotonic() + watch
    while True:
        found, now_s = differences(_beliefs(one), _beliefs(two)), time.monotonic()
        since = {path: since.get(path, now_s) for path in found}
        if as_json:
            rows = {p: {"one": a, "two": b, "stoodS": round(now_s - since[p], 1)} for p, (a, b) in found.items()}
            typer.echo(json.dumps(rows, sort_keys=True))
        else:
            for path, (first, second) in found.items():
                typer.echo(f"{path}: {first!r} / {second!r}, for {now_s - since[path]:.0f} s")
        if now_s >= until_s:
            raise typer.Exit(1 if found else 0)
        time.sleep(1)
