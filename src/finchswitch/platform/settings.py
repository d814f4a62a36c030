"""The platform's settings file, read into a program's startup settings.

Fields that are not known here are ignored. Every fault is one line with the field and the reason.
"""

from pathlib import Path
from typing import Any

import yaml
from returns.result import Failure, Result, Success

from finchswitch.bounds import Bounds
from finchswitch.constants import (
    CHANGE_WAIT_MS,
    DELIVERY_WAIT_MS,
    FOLLOW_HOLD_MS,
    LIST_POLL_MS,
    OWNER_WAIT_MS,
    PEER_BEAT_MS,
    PEERS_MOST,
    REPLACE_AFTER_MS,
    STOP_END_MS,
    STOP_TAKES_MOST_MS,
)
from finchswitch.programs.startup import Startup, address_faults

__all__ = ["BOOT", "read_settings"]

BOOT = "FINCHSWITCH_BOOT"  # the variable that holds the path of the settings file
_FACES = {"transit": "front_http1", "accord": "control_plane"}
NUMBER_MOST = 1e12  # past any time or size that a deployment has; infinity and NaN are past it too
_SHOWN_MOST = 40


def read_settings(program: str, path: str) -> Result[tuple[Startup, str], list[str]]:
    """Startup settings of a program and the address of its readiness (empty for none), or every fault."""
    try:
        raw = yaml.safe_load(Path(path).read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return Failure([f"{BOOT}: {path}: {error}"])
    except (yaml.YAMLError, ValueError, OverflowError, RecursionError) as error:  # a date or a number that is none
        return Failure([f"{BOOT}: {path}: {' '.join(str(error).split())}"])
    if not isinstance(raw, dict):
        return Failure([f"{BOOT}: {path}: not a table of fields"])
    reader = _Reader(raw)
    startup = _startup(program, reader)
    readiness = reader.address("listen_addresses", "readiness") if program == "transit" else ""
    return Failure(reader.faults) if reader.faults else Success((startup, readiness))


class _Reader:
    """Fields by their path; what is missing or of the wrong kind is noted, and a harmless value stands for it."""

    def __init__(self, raw: dict[str, Any]) -> None:
        self._raw = raw
        self.faults: list[str] = []

    def get(self, *path: str) -> Any:
        value: Any = self._raw
        for name in path:
            value = value.get(name) if isinstance(value, dict) else None
        return value

    def text(self, *path: str) -> str:
        value = self.get(*path)
        if not isinstance(value, str) or not value:
            self.faults.append(f"{'.'.join(path)}: {'missing' if value is None else 'a string is needed'}")
            return ""
        return value

    def number(self, *path: str, least: float = 0.0) -> float:
        value = self.get(*path)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not least <= value <= NUMBER_MOST:
            reason = "missing" if value is None else f"{_shown(value)} is not a number from {least:g} on"
            self.faults.append(f"{'.'.join(path)}: {reason}")
            return least
        return float(value)

    def address(self, *path: str) -> str:
        value = self.text(*path)
        self.faults += address_faults(".".join(path), value) if value else []
        return value


def _shown(value: Any) -> str:
    return repr(value)[:_SHOWN_MOST] if not isinstance(value, int) or abs(value) < NUMBER_MOST else "a huge number"


def _startup(program: str, reader: _Reader) -> Startup:
    ports, seeds = reader.get("internal_port_range"), reader.get("seed_nodes")
    port = ports[0] if isinstance(ports, list) and ports and isinstance(ports[0], int) else 0
    if not 1 <= port <= 65535:
        reader.faults.append("internal_port_range: two ports are needed")
    if not isinstance(seeds, list) or not seeds:
        reader.faults.append("seed_nodes: a list of addresses is needed")
        seeds = []
    for seed in seeds:
        reader.faults += address_faults("seed_nodes", seed)
    address = f"{reader.text('ip_address')}:{port}"
    reader.faults += address_faults("ip_address", address) if not reader.faults else []
    return Startup(
        name=reader.text("node_name"),
        address=address,
        http=reader.address("listen_addresses", _FACES[program]),
        district=reader.text("zone"),
        region=str(reader.get("region") or ""),
        seeds=[f"{str(seed).rpartition(':')[0]}:{port}" for seed in seeds],
        platform=reader.address("cloud_api", "address") if program == "transit" else "",
        data=reader.text("data_directory") if program == "accord" else "",
        log="notice",
        bounds=_bounds(reader),
    )


def _bounds(reader: _Reader) -> Bounds:
    """The product's tempos under the platform's bounds, each with room to spare."""

    def bound(name: str) -> float:
        return reader.number("timing_bounds", name)

    grace_ms, drain_ms, ack_ms = 1000 * bound("grace_s"), bound("drain_ms"), bound("ack_ms")
    tolerance = max(int(reader.number("fault_tolerance", each)) for each in ("machines", "zones", "regions"))
    return Bounds(
        tolerance=tolerance,
        survives_regions=reader.number("fault_tolerance", "regions") > 0,
        replace_after_ms=min(REPLACE_AFTER_MS, 0.35 * 1000 * bound("catch_up_s")),
        delivery_wait_ms=min(DELIVERY_WAIT_MS, 0.15 * ack_ms),
        owner_wait_ms=min(OWNER_WAIT_MS, 0.25 * ack_ms),
        change_wait_ms=min(CHANGE_WAIT_MS, 0.25 * ack_ms),
        founds=reader.get("first_start") is True,
        serves_alone=True,
        list_poll_ms=max(LIST_POLL_MS, 0.25 * drain_ms),
        list_shared=True,
        peers_most=PEERS_MOST,
        digest_beat_ms=max(PEER_BEAT_MS, 0.25 * drain_ms),
        follow_hold_ms=max(FOLLOW_HOLD_MS, 0.4 * bound("config_apply_ms")),
        vitals_poll_ms=0,
        tries_window_ms=1000 * bound("budget_window_s"),
        tries_fleet_floor=0.75 * bound("budget_extra"),
        tries_share=0.75 * bound("retry_budget_ratio"),
        stop_settle_ms=min(0.4 * grace_ms, STOP_TAKES_MOST_MS),
        grace_ms=max(0.85 * grace_ms, min(0.9 * grace_ms, grace_ms - STOP_END_MS)),
        aim_share=0.8,
        late_share=2.5,
    )
