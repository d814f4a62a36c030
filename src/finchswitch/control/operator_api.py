"""The operators' desk: HTTP and JSON at every control node.

``POST /v1/changes`` takes a change; ``GET /v1/configuration``, ``/v1/members``, ``/v1/parts`` and ``/v1/plans``
show what stands. A read says whether it is current; ``?current=true`` asks for one that a majority confirmed.
"""

from typing import Any

from returns.result import Failure
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from finchswitch.constants import CHANGE_MOST_BYTES, CONFIGURATION_PART, RETRY_AFTER_LEAST_S, RETRY_AFTER_MOST_S
from finchswitch.control.changes import confirm_current, take_change
from finchswitch.control.control_node import ControlNode
from finchswitch.control.document import part_names
from finchswitch.control.figures import control_figures
from finchswitch.errors import FleetError
from finchswitch.metrics import metrics_route
from finchswitch.transport.strict import read_json

__all__ = ["make_operator_api"]


def make_operator_api(control: ControlNode) -> Starlette:
    async def change(request: Request) -> Response:
        body = b""
        async for part in request.stream():
            body += part
            if len(body) > CHANGE_MOST_BYTES:
                return _json(control, {"status": 413, "reason": f"a change may have {CHANGE_MOST_BYTES} bytes"})
        read = read_json(body)
        if isinstance(read, Failure):
            return _json(control, {"status": 400, "reason": f"not JSON: {read.failure()}"})
        content = read.unwrap()
        if not isinstance(content, dict) or "passed" in content:
            return _json(control, {"status": 400, "reason": "not a change"})
        return _json(control, await take_change(control, content))

    async def configuration(request: Request) -> Response:
        if request.query_params.get("current") == "true":
            return _json(control, await confirm_current(control))
        current = control.current(CONFIGURATION_PART, control.world.now_ms())
        body = {"generation": control.news.generation(CONFIGURATION_PART), "current": current}
        return JSONResponse({**body, "configuration": control.news.body(CONFIGURATION_PART)})

    async def forget(request: Request) -> Response:
        name = request.path_params["name"]
        confirmation = await confirm_current(control)
        if confirmation["status"] != 200:  # cut off from the others, this node cannot say what they hold
            return _json(control, confirmation)
        forgotten = await forget_everywhere(control, name)
        reason = {} if forgotten else {"reason": f"no control node holds {name} as dark"}
        return _json(control, {"status": 200 if forgotten else 404, "name": name, **reason})

    async def members(request: Request) -> Response:
        return JSONResponse(_members(control))

    async def parts(request: Request) -> Response:
        return JSONResponse(_parts(control))

    async def plans(request: Request) -> Response:
        return JSONResponse({"plans": gathered(control, "plans"), "hot": gathered(control, "hot")})

    async def ready(request: Request) -> Response:
        current = control.current(CONFIGURATION_PART, control.world.now_ms())
        return JSONResponse({"ready": current, "store": control.store.state.value}, 200 if current else 503)

    return Starlette(
        routes=[
            Route("/v1/changes", change, methods=["POST"]),
            Route("/v1/configuration", configuration),
            Route("/v1/members", members),
            Route("/v1/members/{name}", forget, methods=["DELETE"]),
            Route("/v1/parts", parts),
            Route("/v1/plans", plans),
            Route("/ready", ready),
            metrics_route(control, control_figures),
        ]
    )


def _json(control: ControlNode, answer: dict[str, Any]) -> Response:
    headers = {}
    if answer["status"] in (503, 504):
        headers["retry-after"] = str(control.world.chance.randint(RETRY_AFTER_LEAST_S, RETRY_AFTER_MOST_S))
    return JSONResponse(answer, answer["status"], headers=headers)


async def forget_everywhere(control: ControlNode, name: str) -> bool:
    """Tell every control node that a dark routing node is gone; whether any held it."""
    forgotten = control.sessions.forget(name)
    for peer in control.control_peers.alive(control.world.now_ms()):
        try:
            answer = await control.book.ask(peer.address, "session.forget", {"name": name})
            forgotten = forgotten or answer.get("forgotten") is True
        except FleetError:
            continue
    control.tempo.kick()
    return forgotten


def gathered(control: ControlNode, kind: str) -> dict[str, Any]:
    """One kind of entry from all the services' parts."""
    found: dict[str, Any] = {}
    for part in part_names():
        if part != CONFIGURATION_PART:
            found.update(control.news.body(part).get(kind, {}))
    return found


def _members(control: ControlNode) -> dict[str, Any]:
    now_ms = control.world.now_ms()
    controls = [
        {
            "name": peer.name,
            "address": peer.address,
            "http": peer.http,
            "store": peer.store,
            "alive": peer in alive,
        }
        for alive in [control.control_peers.alive(now_ms)]
        for peer in control.control_peers.by_store.values()
    ]
    own = {"name": control.startup.name, "address": control.startup.address, "http": control.startup.http}
    controls.append({**own, "store": control.store.store, "alive": True})
    return {
        "fleet": control.store.fleet,
        "controls": sorted(controls, key=lambda each: str(each["name"])),
        "nodes": control.sessions.all(now_ms),
    }


def _parts(control: ControlNode) -> dict[str, Any]:
    now_ms, shown = control.world.now_ms(), {}
    for part in part_names():
        owner, ballot = control.owner_of(part, now_ms)
        document = control.store.acceptors[part].document
        shown[part] = {
            "owner": owner,
            "ballot": ballot,
            "generation": control.news.generation(part),
            "group": document["group"] if document else [],
            "fences": control.news.body(part).get("fences", {}),
        }
    return {"store": control.store.store, "state": control.store.state.value, "parts": shown}
