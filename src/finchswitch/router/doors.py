"""The HTTP face of a routing node: callers' requests, and what the platform and operators look at."""

from typing import Any

from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from finchswitch.affinity import home_order
from finchswitch.constants import HOMES_SHOWN
from finchswitch.metrics import metrics_route
from finchswitch.router.call import answer_call
from finchswitch.router.figures import node_figures
from finchswitch.router.node import Node
from finchswitch.transport.lifespan import answer_lifespan

__all__ = ["Calls", "make_doors"]


class Calls:
    """Callers' requests as an ASGI app, in the node's dialect."""

    def __init__(self, node: Node) -> None:
        self._node = node

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            return await answer_lifespan(receive, send)
        await answer_call(self._node, self._node.dialect, scope, receive, send)


def make_doors(node: Node) -> Starlette:
    async def ready(request: Request) -> Response:
        is_ready = node.ready()
        state = "stopping" if node.stopping else node.member.state.value
        body = {"ready": is_ready, "state": state, "generation": node.generation()}
        return JSONResponse(body, 200 if is_ready else 503)

    async def vitals(request: Request) -> Response:
        body = {"calls": node.vitals, "ways": node.ways, "extra_tries": node.tries.made, "underway": len(node.underway)}
        return JSONResponse({**body, "state": node.member.state.value, "source": node.follower.source})

    async def beliefs(request: Request) -> Response:
        return JSONResponse(believed(node))

    async def lost(request: Request, error: Exception) -> Response:
        status = error.status_code if isinstance(error, HTTPException) else 500
        headers = dict(getattr(error, "headers", None) or {})
        body = {"error": {"message": getattr(error, "detail", ""), "outcome": "not-run"}}
        return JSONResponse(body, status, headers={**headers, "x-outcome": "not-run"})

    routes = [
        Route("/v1/chat/completions", Calls(node), methods=["POST"]),
        Route("/ready", ready),
        Route("/vitals", vitals),
        Route("/beliefs", beliefs),
        metrics_route(node, node_figures),
    ]
    return Starlette(routes=routes, exception_handlers={HTTPException: lost})


def believed(node: Node) -> dict[str, Any]:
    """What this node believes of the fleet, for people and for ``mirror``."""
    now_ms, configuration = node.world.now_ms(), node.configuration()
    runners = {
        known.incarnation: {
            "runner": known.runner,
            "address": known.address,
            "state": known.state_machine.state.value,
            "seats": node.burdens.seats(known.incarnation, now_ms),
            "weights": node.beliefs.weights(known.incarnation),
            "openings": node.beliefs.counts().get(known.incarnation, 0),
        }
        for known in node.roster.known.values()
    }
    return {
        "name": node.member.card["name"],
        "state": node.member.state.value,
        "generations": node.news.generations(),
        "members": sorted(each["name"] for each in node.member.members),
        "runners": runners,
        "homes": {name: _homes(node, name) for name in sorted(configuration.services)},
        "hot": {name: node.crowds.hot(name) for name in sorted(configuration.services)},
        "plans": {name: node.plan_state(name) for name in sorted(configuration.plans)},
        "fences": _fences(node),
    }


def _homes(node: Node, service: str) -> list[str]:
    """Where openings live, as this node computes it, at a few places that are the same at every node."""
    homes = []
    for place in range(HOMES_SHOWN):
        able = node.runners_of(service, f"place-{place}")
        homes.append(home_order(f"place-{place}", able[1])[0] if able and able[1] else "")
    return homes


def _fences(node: Node) -> dict[str, Any]:
    fences: dict[str, Any] = {}
    for part in node.news.generations():
        fences.update(node.news.body(part).get("fences", {}))
    return fences
