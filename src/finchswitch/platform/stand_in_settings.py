"""The settings file that a stand-in of the platform writes for a process."""

from dataclasses import dataclass, field
from typing import Any

__all__ = ["FRONT_PORT", "INTERNAL_PORT", "READINESS_PORT", "Place", "settings_fields"]

FRONT_PORT, READINESS_PORT, INTERNAL_PORT = 8000, 8001, 7100
_BOUNDS = {"catch_up_s": 4, "ack_ms": 4000, "drain_ms": 3000, "grace_s": 8, "config_apply_ms": 2000}
_BUDGET = {"retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 52}


@dataclass(frozen=True)
class Place:
    """A process and the machine that it runs on."""

    name: str
    host: str
    zone: str
    is_edge: bool
    data: str = ""
    bounds: dict[str, Any] = field(default_factory=dict)  # those that differ from the stand-in's own


def settings_fields(place: Place, seeds: list[str], cloud: str, first_start: bool) -> dict[str, Any]:
    """The fields of a process's settings file; seeds are hosts."""
    front = f"{place.host}:{FRONT_PORT}"
    listen = {"front_http1": front, "readiness": f"{place.host}:{READINESS_PORT}"}
    return {
        "node_name": place.name,
        "machine_class": "edge" if place.is_edge else "core",
        "zone": place.zone,
        "listen_addresses": listen if place.is_edge else {"control_plane": front},
        "ip_address": place.host,
        "internal_port_range": [INTERNAL_PORT, INTERNAL_PORT + 15],
        "seed_nodes": [f"{seed}:{FRONT_PORT}" for seed in seeds],
        "first_start": first_start,
        "data_directory": None if place.is_edge else place.data,
        "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
        "timing_bounds": {**_BOUNDS, **_BUDGET, **place.bounds},
        "cloud_api": {"address": cloud},
    }
