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

from finchswitch.accord.change import confirm_current, take_change
from finchswitch.accord.council import Council
from finchswitch.accord.document import part_names
from finchswitch.constants import CHANGE_MOST_BYTES, CREED_PART, RETRY_AFTER_LEAST_S, RETRY_AFTER_MOST_S
from finchswitch.mishap import Mishap
from finchswitch.wire.strict import read_json

__all__ = ["make_desk"]


def make_desk(council: Council) -> Starlette:
    async def change(request: Request) -> Response:
        body = b""
        async for part in request.stream():
            body += part
            if len(body) > CHANGE_MOST_BYTES:
                return _json(council, {"status": 413, "reason": f"a change may have {CHANGE_MOST_BYTES} bytes"})
        read = read_json(body)
        if isinstance(read, Failure):
            return _json(council, {"status": 400, "reason": f"not JSON: {read.failure()}"})
        content = read.unwrap()
        if not isinstance(content, dict) or "passed" in content:
            return _json(council, {"status": 400, "reason": "not a change"})
        return _json(council, await take_change(council, content))

    async def configuration(request: Request) -> Response:
        if request.query_params.get("current") == "true":
            return _json(council, await confirm_current(council))
        current = council.current(CREED_PART, council.world.now_ms())
        body = {"generation": council.news.generation(CREED_PART), "current": current}
        return JSONResponse({**body, "configuration": council.news.body(CREED_PART)})

    async def forget(request: Request) -> Response:
        name = request.path_params["name"]
        forgotten = await forget_everywhere(council, name)
        reason = {} if forgotten else {"reason": f"no control node holds {name} as dark"}
        return _json(council, {"status": 200 if forgotten else 404, "name": name, **reason})

    async def members(request: Request) -> Response:
        return JSONResponse(_members(council))

    async def parts(request: Request) -> Response:
        return JSONResponse(_parts(council))

    async def plans(request: Request) -> Response:
        return JSONResponse({"plans": gathered(council, "plans"), "hot": gathered(council, "hot")})

    async def ready(request: Request) -> Response:
        current = council.current(CREED_PART, council.world.now_ms())
        return JSONResponse({"ready": current, "store": council.store.state.value}, 200 if current else 503)

    return Starlette(
        routes=[
            Route("/v1/changes", change, methods=["POST"]),
            Route("/v1/configuration", configuration),
            Route("/v1/members", members),
            Route("/v1/members/{name}", forget, methods=["DELETE"]),
            Route("/v1/parts", parts),
            Route("/v1/plans", plans),
            Route("/ready", ready),
        ]
    )


def _json(council: Council, answer: dict[str, Any]) -> Response:
    headers = {}
    if answer["status"] in (503, 504):
        headers["retry-after"] = str(council.world.chance.randint(RETRY_AFTER_LEAST_S, RETRY_AFTER_MOST_S))
    return JSONResponse(answer, answer["status"], headers=headers)


async def forget_everywhere(council: Council, name: str) -> bool:
    """Tell every control node that a dark routing node is gone; whether any held it."""
    forgotten = council.sessions.forget(name)
    for kin in council.kindred.alive(council.world.now_ms()):
        try:
            answer = await council.book.ask(kin.address, "session.forget", {"name": name})
            forgotten = forgotten or answer.get("forgotten") is True
        except Mishap:
            continue
    council.tempo.kick()
    return forgotten


def gathered(council: Council, kind: str) -> dict[str, Any]:
    """One kind of entry from all the services' parts."""
    found: dict[str, Any] = {}
    for part in part_names():
        if part != CREED_PART:
            found.update(council.news.body(part).get(kind, {}))
    return found


def _members(council: Council) -> dict[str, Any]:
    now_ms = council.world.now_ms()
    controls = [
        {"name": kin.name, "address": kin.address, "http": kin.http, "store": kin.store, "alive": kin in alive}
        for alive in [council.kindred.alive(now_ms)]
        for kin in council.kindred.by_store.values()
    ]
    own = {"name": council.startup.name, "address": council.startup.address, "http": council.startup.http}
    controls.append({**own, "store": council.store.store, "alive": True})
    return {
        "fleet": council.store.fleet,
        "controls": sorted(controls, key=lambda each: str(each["name"])),
        "nodes": council.sessions.all(now_ms),
    }


def _parts(council: Council) -> dict[str, Any]:
    now_ms, shown = council.world.now_ms(), {}
    for part in part_names():
        owner, ballot = council.owner_of(part, now_ms)
        document = council.store.acceptors[part].document
        shown[part] = {
            "owner": owner,
            "ballot": ballot,
            "generation": council.news.generation(part),
            "group": document["group"] if document else [],
            "fences": council.news.body(part).get("fences", {}),
        }
    return {"store": council.store.store, "state": council.store.state.value, "parts": shown}
