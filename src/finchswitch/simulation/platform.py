"""A stand-in platform: the list of runners in Kubernetes' published form, and what may be done to it."""

from dataclasses import dataclass, field
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

__all__ = ["StandInPlatform"]


@dataclass
class StandInPlatform:
    """Endpoints by incarnation: (runner, address, leaving)."""

    points: dict[str, tuple[str, str, bool]] = field(default_factory=dict)
    failing: bool = False

    def list_runner(self, runner: str, incarnation: str, address: str) -> None:
        self.points[incarnation] = (runner, address, False)

    def start_leaving(self, incarnation: str) -> None:
        runner, address, _ = self.points[incarnation]
        self.points[incarnation] = (runner, address, True)

    def remove(self, incarnation: str) -> None:
        self.points.pop(incarnation, None)

    def shown(self) -> dict[str, Any]:
        items = []
        for incarnation, (runner, address, leaving) in sorted(self.points.items()):
            host, _, port = address.rpartition(":")
            point = {
                "addresses": [host],
                "conditions": {"ready": not leaving, "serving": True, "terminating": leaving},
                "targetRef": {"kind": "Pod", "name": runner, "uid": incarnation},
            }
            items.append({"addressType": "IPv4", "ports": [{"port": int(port)}], "endpoints": [point]})
        return {"kind": "EndpointSliceList", "apiVersion": "discovery.k8s.io/v1", "items": items}

    def app(self) -> Starlette:
        async def listing(request: Request) -> Response:
            return JSONResponse({}, 503) if self.failing else JSONResponse(self.shown())

        async def change(request: Request) -> Response:
            wanted = await request.json()
            if wanted["act"] == "list":
                self.list_runner(wanted["runner"], wanted["incarnation"], wanted["address"])
            elif wanted["act"] == "leave":
                self.start_leaving(wanted["incarnation"])
            else:
                self.remove(wanted["incarnation"])
            return JSONResponse({})

        return Starlette(
            routes=[
                Route("/apis/discovery.k8s.io/v1/endpointslices", listing),
                Route("/stand-in", change, methods=["POST"]),
            ]
        )
