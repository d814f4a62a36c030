"""The versions: files that must last, one file a version, written aside and renamed, under one data folder.

``put`` returns only when the bytes and the name are synced. A file carries a digest of its content, so a torn
one is told from a whole one; the newest file counts or nothing does, since an older one may have forgotten a
promise. A file also carries its format's number; a higher one than is read here is left alone. ``Disk`` is the
few calls that a versions makes, with a real making here and another in the rehearsal.
"""

import hashlib
import json
import os
from pathlib import Path
from typing import Any, Protocol

from finchswitch.constants import STORAGE_FORMAT, STORAGE_KEEP, STORAGE_READS
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.storage.reuse import ReusingEncoder

__all__ = ["Disk", "RealDisk", "VersionedFile"]

_ENTRY_DEPTH = 4  # a document, its body, a kind and a name lead to an entry


class Disk(Protocol):
    def names(self, folder: str) -> list[str]: ...

    def read(self, folder: str, name: str) -> bytes: ...

    def write_synced(self, folder: str, name: str, data: bytes) -> None: ...

    def rename(self, folder: str, old: str, new: str) -> None: ...

    def sync_folder(self, folder: str) -> None: ...

    def remove(self, folder: str, name: str) -> None: ...


class RealDisk:
    def __init__(self, root: Path) -> None:
        self._root = root
        root.mkdir(parents=True, exist_ok=True)
        self._sync(root.parent)

    def names(self, folder: str) -> list[str]:
        where = self._root / folder
        return sorted(each.name for each in where.iterdir()) if where.is_dir() else []

    def read(self, folder: str, name: str) -> bytes:
        return (self._root / folder / name).read_bytes()

    def write_synced(self, folder: str, name: str, data: bytes) -> None:
        where = self._root / folder
        if not where.is_dir():
            where.mkdir()
            self._sync(self._root)
        with open(where / name, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def rename(self, folder: str, old: str, new: str) -> None:
        os.rename(self._root / folder / old, self._root / folder / new)

    def sync_folder(self, folder: str) -> None:
        self._sync(self._root / folder)

    def remove(self, folder: str, name: str) -> None:
        os.unlink(self._root / folder / name)

    def _sync(self, where: Path) -> None:
        handle = os.open(where, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


class VersionedFile:
    """The versions of one thing."""

    def __init__(self, disk: Disk, folder: str) -> None:
        self._disk, self._folder = disk, folder
        self._encoder = ReusingEncoder(_ENTRY_DEPTH)
        self._version = max((self._number(each) for each in disk.names(folder)), default=0)

    def put(self, content: dict[str, Any]) -> None:
        """Write the next version; returns when it will last, or raises a FleetError FULL."""
        body = self._encoder.encode({**content, "format": STORAGE_FORMAT})
        digest = hashlib.sha256(body.encode()).hexdigest()
        name = f"{self._version + 1:012d}.json"
        try:
            self._disk.write_synced(self._folder, name + ".aside", f"{digest}\n{body}".encode())
            self._disk.rename(self._folder, name + ".aside", name)
            self._disk.sync_folder(self._folder)
        except OSError as error:
            raise FleetError(ErrorKind.FULL, "put", f"{self._folder}/{name}", error.strerror or str(error)) from None
        self._version += 1
        self._tidy()

    def newest(self) -> dict[str, Any] | None:
        """The newest version, None when there never was one, a FleetError BROKEN when it cannot be trusted."""
        names = [each for each in self._disk.names(self._folder) if self._number(each)]
        if not names:
            return None
        name = max(names)
        try:
            digest, _, body = self._disk.read(self._folder, name).decode().partition("\n")
        except (OSError, UnicodeDecodeError) as error:
            raise FleetError(ErrorKind.BROKEN, "read", f"{self._folder}/{name}", str(error)) from None
        if hashlib.sha256(body.encode()).hexdigest() != digest:
            raise FleetError(ErrorKind.BROKEN, "read", f"{self._folder}/{name}", "torn: digest differs")
        content = self._content(name, body)
        if content.pop("format", 1) > STORAGE_READS:
            reason = f"of a newer format than {STORAGE_READS}, the newest that this version reads; nothing was changed"
            raise FleetError(ErrorKind.NEWER, "read", f"{self._folder}/{name}", reason)
        return content

    def _content(self, name: str, body: str) -> dict[str, Any]:
        try:
            content = json.loads(body)
        except (ValueError, RecursionError):
            content = None
        if not isinstance(content, dict) or type(content.get("format", 1)) is not int:
            raise FleetError(ErrorKind.BROKEN, "read", f"{self._folder}/{name}", "not of the agreed shape")
        return content

    def clear(self) -> None:
        for name in self._disk.names(self._folder):
            self._disk.remove(self._folder, name)
        if self._disk.names(self._folder) == [] and self._version:
            self._disk.sync_folder(self._folder)
        self._version = 0

    def _tidy(self) -> None:
        for name in self._disk.names(self._folder):
            if self._number(name) and self._number(name) <= self._version - STORAGE_KEEP:
                self._disk.remove(self._folder, name)

    def _number(self, name: str) -> int:
        stem, _, rest = name.partition(".")
        return int(stem) if rest == "json" and stem.isdigit() else 0
