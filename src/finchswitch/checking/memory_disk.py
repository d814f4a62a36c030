"""A disk in memory that tells what was synced from what was not, and may lose power at a chosen call."""

from finchswitch.storage import Disk

__all__ = ["Folders", "MemoryDisk", "PowerLoss"]

Folders = dict[str, dict[str, bytes]]


class PowerLoss(Exception):
    """The process ended at this call."""


def _copy(folders: Folders) -> Folders:
    return {folder: dict(files) for folder, files in folders.items()}


class MemoryDisk(Disk):
    """A file's bytes last once written; its name lasts once its folder was synced, or earlier by chance."""

    def __init__(self, folders: Folders, fail_at: int | None = None) -> None:
        self.live, self.durable = _copy(folders), _copy(folders)
        self.calls = 0
        self._fail_at = fail_at

    def names(self, folder: str) -> list[str]:
        return sorted(self.live.get(folder, {}))

    def read(self, folder: str, name: str) -> bytes:
        return self.live[folder][name]

    def write_synced(self, folder: str, name: str, data: bytes) -> None:
        self._count()
        self.live.setdefault(folder, {})[name] = data

    def rename(self, folder: str, old: str, new: str) -> None:
        self._count()
        self.live[folder][new] = self.live[folder].pop(old)

    def sync_folder(self, folder: str) -> None:
        self._count()
        self.durable[folder] = dict(self.live.get(folder, {}))

    def remove(self, folder: str, name: str) -> None:
        self._count()
        del self.live[folder][name]

    def _count(self) -> None:
        """Count a call that changes the disk; power is lost before the chosen one."""
        if self.calls == self._fail_at:
            raise PowerLoss
        self.calls += 1
