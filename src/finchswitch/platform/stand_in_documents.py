"""The configuration that the stand-in operator begins with: one service, an unsafe route and one that is resumed."""

from typing import Any

__all__ = ["DOCUMENT", "RESUMED", "SERVICE", "UNSAFE", "added"]

SERVICE = "s-main"
UNSAFE: dict[str, Any] = {
    "name": "r-unsafe",
    "host_name": "one.example",
    "path_prefix": "/unsafe/",
    "route_type": "streaming",
    "timeout_ms": 10_000,
    "target_latency_ms": 800,
    "target_gap_ms": 200,
    "priority_level": 1,
    "target_service": SERVICE,
    "max_attempts": 3,
    "stream_resumption": False,
}
RESUMED = {**UNSAFE, "name": "r-resumed", "path_prefix": "/resumed/", "stream_resumption": True, "priority_level": 0}
_LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 5_000,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
_ENGINE = {"capacity_slots": 16, "kv_capacity": 443_888, "models": [{"name": "m"}]}
_SERVICES = [{"name": SERVICE, "health_path": "/health", "max_connections": 370, "engine": _ENGINE}]
DOCUMENT: dict[str, Any] = {"revision": 3, "routes": [UNSAFE, RESUMED], "services": _SERVICES, "limits": _LIMITS}


def added(at: int) -> dict[str, Any]:
    """A route that comes with a later change."""
    return {**UNSAFE, "name": f"r-new{at}", "path_prefix": f"/new{at}/"}
