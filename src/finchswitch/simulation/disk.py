"""A disk in memory that keeps only what was synced, and can be full, slow, stalled or torn.

A file's bytes last once written; its name lasts once its folder was synced. A loss of power takes back whatever
was not made to last, or by chance leaves some of it, as real disks do.
"""

import errno
from copy import deepcopy

from finchswitch.simulation.machine import Machine

__all__ = ["SimDisk"]

_Folders = dict[str, dict[str, bytes]]


class SimDisk:
    def __init__(self, machine: Machine) -> None:
        self._machine = machine
        self._live: _Folders = {}
        self._durable: _Folders = {}
        self.full = False
        self.slow_ms = 0.0
        self.failing = False

    def names(self, folder: str) -> list[str]:
        return sorted(self._live.get(folder, {}))

    def read(self, folder: str, name: str) -> bytes:
        return self._live[folder][name]

    def write_synced(self, folder: str, name: str, data: bytes) -> None:
        self._wait()
        if self.full:
            raise OSError(errno.ENOSPC, "No space left on device")
        self._live.setdefault(folder, {})[name] = data

    def rename(self, folder: str, old: str, new: str) -> None:
        self._live[folder][new] = self._live[folder].pop(old)

    def sync_folder(self, folder: str) -> None:
        self._wait()
        self._durable[folder] = dict(self._live.get(folder, {}))

    def remove(self, folder: str, name: str) -> None:
        del self._live[folder][name]

    def _wait(self) -> None:
        if self.slow_ms:
            self._machine.stall(self.slow_ms)
        if self.failing:
            raise OSError(errno.EIO, "Input/output error")

    def lose_power(self, keep_unsynced: bool) -> None:
        if not keep_unsynced:
            self._live = deepcopy(self._durable)
        self._durable = deepcopy(self._live)

    def tear_newest(self, folder: str) -> None:
        name = max(self._live[folder])
        self._live[folder][name] = self._live[folder][name][: len(self._live[folder][name]) // 2]
        self._durable = deepcopy(self._live)

    def wipe(self) -> None:
        self._live, self._durable = {}, {}
