"""verify: reads a control node's data folder offline, and says whether it is whole and what it holds.

Nothing is written. A folder that a process still uses may be read as well; it is then a picture of one moment.
"""

from pathlib import Path
from typing import Any

from finchswitch.control.document import part_names
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.storage import RealDisk, VersionedFile

__all__ = ["verify_folder"]


class _Reading(RealDisk):
    """A disk that is only read."""

    def __init__(self, root: Path) -> None:
        self._root = root


def verify_folder(root: Path) -> tuple[dict[str, Any], list[str]]:
    """What a data folder holds, and everything that is wrong with it; raises a FleetError where there is no folder."""
    if not root.is_dir():
        raise FleetError(ErrorKind.INVALID, "verify", str(root), "no such folder")
    disk, wrong = _Reading(root), list[str]()
    store = _newest(disk, "store", wrong)
    held: dict[str, Any] = {"store": "", "fleet": "", "founders": [], "parts": {}}
    if store is not None:
        held.update({name: store.get(name, held[name]) for name in ("store", "fleet", "founders")})
    for part in part_names():
        kept = _newest(disk, part, wrong)
        if kept is None:
            continue
        if store is None:
            wrong.append(f"{part}: a part without a store")
        held["parts"][part] = _part(part, kept, held, wrong)
    if held["founders"] and held["store"] in held["founders"]:
        wrong += [f"{part}: missing, though this store founded the fleet" for part in _missing(held)]
    strangers = sorted({each.name for each in root.iterdir() if each.is_dir()} - {"store", *part_names()})
    wrong += [f"{name}: not a folder of a store" for name in strangers]
    return held, wrong


def _missing(held: dict[str, Any]) -> list[str]:
    return [part for part in part_names() if part not in held["parts"]]


def _newest(disk: RealDisk, folder: str, wrong: list[str]) -> dict[str, Any] | None:
    try:
        return VersionedFile(disk, folder).newest()
    except FleetError as error:
        wrong.append(str(error))
        return None


def _part(part: str, kept: dict[str, Any], held: dict[str, Any], wrong: list[str]) -> dict[str, Any]:
    document = kept.get("document")
    shown: dict[str, Any] = {"promised": kept.get("promised"), "ballot": kept.get("ballot")}
    if not isinstance(document, dict):
        return shown
    if document.get("fleet") != held["fleet"]:
        wrong.append(f"{part}: of fleet {document.get('fleet')}, the store is of {held['fleet'] or 'none'}")
    if tuple(kept.get("ballot") or ()) > tuple(kept.get("promised") or ()):
        wrong.append(f"{part}: accepted under a higher ballot than it promised")
    body = document.get("body", {})
    shown.update({name: document.get(name) for name in ("step", "generation", "group")})
    shown["votes"] = held["store"] in [*document.get("group", []), *document.get("former", [])]
    shown["entries"] = {kind: len(entries) for kind, entries in sorted(body.items())}
    return shown
