"""A stand-in of the platform's list of runners: pages of entries that lag, and a rate past which calls are refused."""

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from finchswitch.platform.stand_in import time_ms

__all__ = ["StandInList"]


@dataclass
class StandInList:
    lag_ms: float = 400.0
    per_s: float = 40.0
    page: int = 2
    entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    draining_ms: dict[str, float] = field(default_factory=dict)  # when the list began to show it so
    refused: int = 0
    _coming: deque[tuple[float, str, dict[str, Any] | None]] = field(default_factory=deque)
    _asked_ms: deque[float] = field(default_factory=deque)

    def put(self, instance: str, service: str, address: str, slots: int, state: str = "ready") -> None:
        entry = {"instance_id": instance, "target_service": service, "address": address, "state": state}
        rest = {"zone": "hill", "revision": "v1", "capacity_slots": slots, "warmup_left_ms": 0, "phase": "combined"}
        self._coming.append((time_ms() + self.lag_ms, instance, {**entry, **rest}))
        if state == "draining":
            self.draining_ms[instance] = time_ms() + self.lag_ms

    def drain(self, instance: str) -> None:
        self._show()
        entry = self.entries[instance]
        address, slots = str(entry["address"]), int(entry["capacity_slots"])
        self.put(instance, str(entry["target_service"]), address, slots, "draining")

    def remove(self, instance: str) -> None:
        self._coming.append((time_ms() + self.lag_ms, instance, None))

    def _show(self) -> None:
        while self._coming and self._coming[0][0] <= time_ms():
            _, instance, entry = self._coming.popleft()
            self.entries.pop(instance, None)
            if entry is not None:
                self.entries[instance] = entry

    def app(self) -> Starlette:
        async def listing(request: Request) -> Response:
            now_ms = time_ms()
            while self._asked_ms and now_ms - self._asked_ms[0] >= 1000:
                self._asked_ms.popleft()
            if len(self._asked_ms) >= self.per_s:
                self.refused += 1
                return JSONResponse({}, 429)
            self._asked_ms.append(now_ms)
            self._show()
            at = int(request.query_params.get("page_token", "p-0").removeprefix("p-"))
            rows = sorted(self.entries.values(), key=lambda each: str(each["instance_id"]))
            token = f"p-{at + self.page}" if at + self.page < len(rows) else None
            return JSONResponse({"instances": rows[at : at + self.page], "next_token": token})

        return Starlette(routes=[Route("/instances", listing)])
