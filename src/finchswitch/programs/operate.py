"""Operating a fleet from the command line: sending changes and looking at what stands."""

import json
import secrets
from pathlib import Path
from typing import Annotated, Any

import httpx
import typer
from returns.result import Failure

from finchswitch.affinity import home_order, opening_of
from finchswitch.configuration import read_configuration
from finchswitch.constants import CHANGE_WAIT_MS
from finchswitch.programs.mirror import mirror
from finchswitch.programs.replay import replay
from finchswitch.transport.strict import read_json

__all__ = ["add_to"]

At = Annotated[str, typer.Option("--at", help="IP:port of a control node's desk.", envvar="FINCHSWITCH_AT")]
AsJson = Annotated[bool, typer.Option("--json", help="Print the answer as JSON.")]
_EXITS = {200: 0, 202: 4, 504: 5}


def add_to(app: typer.Typer) -> None:
    for command in (check, change, configuration, members, parts, plans, hot, homes, forget, mirror, replay):
        app.command()(command)


def check(file: Annotated[Path, typer.Argument(help="A configuration, JSON.")]) -> None:
    """Check a configuration without sending it."""
    content = _load(file)
    read = read_configuration(content)
    if isinstance(read, Failure):
        for fault in read.failure():
            typer.echo(fault, err=True)
        raise typer.Exit(2)
    held = read.unwrap()
    typer.echo(f"sound: {len(held.services)} services, {len(held.runners)} runners, {len(held.bindings)} bindings")


def change(
    file: Annotated[Path, typer.Argument(help='A whole configuration, or {"edits": [...]}, JSON.')],
    at: At,
    base: Annotated[int | None, typer.Option(help="The generation built on; the newest otherwise.")] = None,
    change_id: Annotated[str | None, typer.Option("--id", help="Repeat it to ask again after an unknown fate.")] = None,
    again: Annotated[bool, typer.Option(help="An earlier sending with this --id went without an answer.")] = False,
    as_json: AsJson = False,
) -> None:
    """Send a change: the whole configuration or a few named edits, taken completely or not at all."""
    content = _load(file)
    if base is None:
        base = int(_get(at, "/v1/configuration?current=true")["generation"])
    named = {"edits": content["edits"]} if isinstance(content, dict) and set(content) == {"edits"} else None
    content = named or {"configuration": content}
    body = {"changeId": change_id or secrets.token_hex(8), "base": base, "again": again, **content}
    try:
        response = httpx.post(f"http://{at}/v1/changes", json=body, timeout=2 * CHANGE_WAIT_MS / 1000, trust_env=False)
        answer = response.json()
    except (httpx.HTTPError, ValueError) as error:
        typer.echo(f"fate unknown, ask again with --id {body['changeId']} --base {base} --again: {error!r}", err=True)
        raise typer.Exit(5) from None
    answer = {"changeId": body["changeId"], **answer}
    _show(answer, as_json)
    raise typer.Exit(_EXITS.get(response.status_code, 1))


def configuration(at: At, current: bool = False, as_json: AsJson = True) -> None:
    """Show the configuration and its generation; --current asks a majority."""
    _show(_get(at, "/v1/configuration" + ("?current=true" if current else "")), as_json)


def members(at: At, as_json: AsJson = False) -> None:
    """Show control nodes and routing nodes with their generations."""
    answer = _get(at, "/v1/members")
    if as_json:
        return _show(answer, True)
    typer.echo(f"fleet {answer['fleet']}")
    for each in answer["controls"]:
        typer.echo(f"control {each['name']} {each['address']} {'alive' if each['alive'] else 'silent'}")
    for each in answer["nodes"]:
        generation = each["generations"].get("creed", -1)
        typer.echo(f"routing {each['name']} {each['district']} {each['http']} {each['state']} generation {generation}")


def parts(at: At, as_json: AsJson = False) -> None:
    """Show each part's owner, ballot, generation and fences."""
    _show(_get(at, "/v1/parts"), as_json)


def plans(at: At, as_json: AsJson = False) -> None:
    """Show the standing of move plans."""
    _show(_get(at, "/v1/plans")["plans"], as_json)


def hot(at: At, as_json: AsJson = False) -> None:
    """Show each service's hot set with its fence."""
    _show(_get(at, "/v1/plans")["hot"], as_json)


def forget(at: At, node: Annotated[str, typer.Argument(help="A routing node that is dark.")]) -> None:
    """Say that a dark routing node is gone for good, so that changes need not wait for it."""
    try:
        response = httpx.delete(f"http://{at}/v1/members/{node}", timeout=5, trust_env=False)
    except httpx.HTTPError as error:
        typer.echo(f"{at} cannot be asked: {error!r}", err=True)
        raise typer.Exit(3) from None
    typer.echo(f"{node}: {'forgotten' if response.status_code == 200 else response.json().get('reason')}")
    raise typer.Exit(0 if response.status_code == 200 else 1)


def homes(
    at: At,
    service: Annotated[str, typer.Argument(help="The service.")],
    opening: Annotated[Path, typer.Argument(help="A file with the system message.")],
) -> None:
    """Show which runners own an opening, its home first."""
    configuration = read_configuration(_get(at, "/v1/configuration")["configuration"]).unwrap()
    digest = opening_of(service, [{"role": "system", "content": opening.read_text("utf-8")}]).digest
    bound = [each.runners for each in configuration.bindings.values() if each.service == service]
    if not bound:
        typer.echo(f"no binding for {service}", err=True)
        raise typer.Exit(1)
    typer.echo(f"{digest} {' '.join(home_order(digest, bound[0]))}")


def _load(file: Path) -> Any:
    try:
        read = read_json(file.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        typer.echo(f"{file}: {error}", err=True)
        raise typer.Exit(2) from None
    if isinstance(read, Failure):
        typer.echo(f"{file}: {read.failure()}", err=True)
        raise typer.Exit(2)
    return read.unwrap()


def _get(at: str, path: str) -> dict[str, Any]:
    try:
        response = httpx.get(f"http://{at}{path}", timeout=5, trust_env=False)
        answer: dict[str, Any] = response.json()
    except (httpx.HTTPError, ValueError) as error:
        typer.echo(f"{at} cannot be asked: {error!r}", err=True)
        raise typer.Exit(3) from None
    if response.status_code != 200:
        typer.echo(str(answer.get("reason", answer)), err=True)
        raise typer.Exit(1)
    return answer


def _show(answer: dict[str, Any], as_json: bool) -> None:
    if as_json:
        typer.echo(json.dumps(answer, indent=2, sort_keys=True))
        return
    for name, value in answer.items():
        typer.echo(f"{name}: {value if isinstance(value, (str, int)) else json.dumps(value, sort_keys=True)}")
