"""The product's programs on the platform: its settings file, its doors, its signals."""

import os
import sys
from functools import partial

import anyio
from returns.result import Failure
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from finchswitch.control.control_node import ControlNode
from finchswitch.control.operator_api import make_operator_api
from finchswitch.errors import FleetError, causes_of
from finchswitch.logs import prefix, to_stderr
from finchswitch.platform.calls import PlatformDialect
from finchswitch.platform.desk import desk_routes
from finchswitch.platform.instances import InstanceLister
from finchswitch.platform.settings import BOOT, read_settings
from finchswitch.programs.accord import serve_accord
from finchswitch.programs.startup import Startup
from finchswitch.programs.transit import serve_transit
from finchswitch.router.doors import Calls, make_doors
from finchswitch.router.node import Node
from finchswitch.transport.real import RealWorld

__all__ = ["main", "make_control", "make_looks"]

_log = prefix("settings")
_READINESS = "/api/readiness"


def make_looks(node: Node) -> Starlette:
    """What the platform and people look at on a routing node."""

    async def ready(request: Request) -> Response:
        return JSONResponse({}, 200 if node.ready() else 503)

    return Starlette(routes=[Route(_READINESS, ready), *make_doors(node).routes])


def make_control(control: ControlNode) -> Starlette:
    """A control node's desk, in the platform's words and in the product's own."""
    return Starlette(routes=[*desk_routes(control), *make_operator_api(control).routes])


async def _transit(startup: Startup, readiness: str) -> None:
    async with anyio.create_task_group() as group:
        world = RealWorld()
        node = Node(world, startup, group, PlatformDialect(), InstanceLister)
        group.start_soon(world.serve_http, make_looks(node), readiness, anyio.Event())
        await serve_transit(world, node, Calls(node), group, partial(_seeds, "transit", startup))


async def _accord(startup: Startup, readiness: str) -> None:
    async with anyio.create_task_group() as group:
        world = RealWorld()
        await serve_accord(world, startup, group, make_control, partial(_seeds, "accord", startup))


def _seeds(program: str, startup: Startup) -> list[str]:
    """The seeds as the settings file names them now; the present ones where it cannot be read."""
    read = read_settings(program, os.environ.get(BOOT, ""))
    if isinstance(read, Failure):
        _log.warning("The settings cannot be read again; the former seeds stand. {}", "; ".join(read.failure()))
        return startup.seeds
    return read.unwrap()[0].seeds


def main() -> int:
    """Run the program that the first argument names; 2 when its settings are wrong."""
    program = sys.argv[1] if len(sys.argv) > 1 else ""
    if program not in ("transit", "accord"):
        print("program: transit or accord", file=sys.stderr)
        return 2
    read = read_settings(program, os.environ.get(BOOT, ""))
    if isinstance(read, Failure):
        print("\n".join(read.failure()), file=sys.stderr)
        return 2
    startup, readiness = read.unwrap()
    to_stderr(startup.log, startup.name, startup.log_form)
    try:
        anyio.run(_transit if program == "transit" else _accord, startup, readiness, backend="trio")
    except (OSError, FleetError, ExceptionGroup) as ended:
        if not all(isinstance(each, (OSError, FleetError)) for each in causes_of(ended)):
            raise
        print("\n".join(f"{program} {startup.name} ends: {each}" for each in causes_of(ended)), file=sys.stderr)
        return 1
    return 0
