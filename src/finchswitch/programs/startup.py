"""Startup settings, from a TOML file and flags, checked as a whole before anything is opened.

Flags win over the file. Every fault is one line with the field and the reason.
"""

import ipaddress
import os
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from finchswitch.bounds import Bounds
from finchswitch.logs import FORMS

__all__ = ["Startup", "address_faults", "read_startup"]

_LEVELS = ("debug", "info", "notice", "warning", "error")


@dataclass(frozen=True)
class Startup:
    """Where a process stands: its addresses, its district and region, and three seeds."""

    name: str
    address: str
    http: str
    district: str
    seeds: list[str]
    region: str = ""  # the district's; empty where it is not told
    platform: str = ""
    data: str = ""
    log: str = "info"
    log_form: str = "text"
    bounds: Bounds = field(default_factory=Bounds)

    @property
    def failure_domain(self) -> str:
        """What is lost as a whole, this process with it: the region where regions may be lost, or else the district."""
        return self.region if self.bounds.survives_regions and self.region else self.district


def read_startup(program: str, file: Path | None, flags: dict[str, Any]) -> Result[Startup, list[str]]:
    """Settings of a program, or every fault in them.

    >>> flags = {"name": "t1", "address": "localhost:1", "http": "127.0.0.1:99999", "seeds": ["127.0.0.1:1"]}
    >>> for line in read_startup("transit", None, flags).failure(): print(line)
    district: missing
    platform: missing
    address: localhost is not an IP number
    http: port 99999 is not within 1 and 65535
    seeds: three addresses are needed, 1 given
    """
    raw: dict[str, Any] = {}
    if file is not None:
        try:
            raw = tomllib.loads(file.read_text("utf-8"))
        except OSError as error:
            return Failure([f"file: {file}: {error.strerror}"])
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
            return Failure([f"file: {file}: {error}"])
    settings = {**raw, **{name: value for name, value in flags.items() if value not in (None, [])}}
    needed = ["name", "address", "http", "district", "seeds", "platform" if program == "transit" else "data"]
    wrong = [f"{name}: no such setting for {program}" for name in settings if name not in (*needed, "log", "log_form")]
    wrong += [f"{name}: missing" for name in needed if name not in settings]
    for name in ("name", "district", "data", "log"):
        if name in settings and (not isinstance(settings[name], str) or not settings[name]):
            wrong.append(f"{name}: a string is needed")
    for name in ("address", "http", "platform"):
        if name in settings and name in needed:
            wrong += address_faults(name, settings[name])
    wrong += _seed_faults(settings.get("seeds", [""] * 3))
    if settings.get("log", "info") not in _LEVELS:
        wrong.append(f"log: one of {', '.join(_LEVELS)}")
    if settings.get("log_form", "text") not in FORMS:
        wrong.append(f"log_form: one of {', '.join(FORMS)}")
    if not wrong and program == "accord":
        wrong += _folder_faults(Path(settings["data"]))
    if not wrong and settings["address"] == settings["http"]:
        wrong.append("http: the same as address")
    return Failure(wrong) if wrong else Success(Startup(**settings))


def _seed_faults(seeds: Any) -> list[str]:
    if not isinstance(seeds, list):
        return ["seeds: a list is needed"]
    if len(seeds) != 3:
        return [f"seeds: three addresses are needed, {len(seeds)} given"]
    faults = [fault for seed in seeds if seed != "" for fault in address_faults("seeds", seed)]
    return faults + (["seeds: an address stands twice"] if len(set(seeds)) < 3 and "" not in seeds else [])


def address_faults(name: str, value: Any) -> list[str]:
    """What is wrong with an address, an IP number and a port."""
    if not isinstance(value, str):
        return [f"{name}: a string is needed"]
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return [f"{name}: {host or value} is not an IP number"]
    if not port.isdigit() or not 1 <= int(port) <= 65535:
        return [f"{name}: port {port} is not within 1 and 65535"]
    return []


def _folder_faults(folder: Path) -> list[str]:
    try:
        folder.mkdir(parents=True, exist_ok=True)
        probe = folder / f".probe-{os.getpid()}"
        probe.write_bytes(b"")
        probe.unlink()
    except OSError as error:
        return [f"data: {folder} cannot be written: {error.strerror}"]
    return []
