"""The machines of a soak: one process on each, its settings file, its signals, and how each of its lives ended."""

import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import yaml

from finchswitch.platform.settings import BOOT
from finchswitch.platform.stand_in import time_ms
from finchswitch.platform.stand_in_settings import Place, settings_fields

__all__ = ["Life", "Machine"]

_MODULE = "finchswitch.platform"


@dataclass
class Life:
    """A process from its start to its end."""

    started_ms: float
    signals: list[tuple[float, signal.Signals]] = field(default_factory=list)
    ended_ms: float = float("inf")
    code: int | None = None

    def first(self, *numbers: signal.Signals) -> float:
        """When the first of these signals was sent; infinity for never."""
        return min((at_ms for at_ms, number in self.signals if number in numbers), default=float("inf"))

    @property
    def stopped_ms(self) -> float:
        """When it was told to stop; infinity for never."""
        return self.first(signal.SIGTERM, signal.SIGINT)


class Machine:
    """A place where one process runs, life after life."""

    def __init__(self, place: Place, folder: Path, cloud: str) -> None:
        self.place, self.lives = place, list[Life]()
        self._folder, self._cloud = folder, cloud
        self._settings = folder / f"{place.name}.yaml"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> bool:
        return self._process is not None

    def write_settings(self, seeds: list[str], first_start: bool) -> None:
        fields = settings_fields(self.place, seeds, self._cloud, first_start)
        whole = self._settings.with_suffix(".new")
        whole.write_text(yaml.safe_dump(fields), "utf-8")
        whole.replace(self._settings)  # a program that starts meanwhile must not find half of it

    def spoil_settings(self, text: str | None) -> None:
        """Leave a settings file that cannot be read, or none."""
        if text is None:
            self._settings.unlink(missing_ok=True)
        else:
            self._settings.write_text(text, "utf-8")

    def start(self) -> None:
        program = "transit" if self.place.is_edge else "accord"
        environment = {**os.environ, BOOT: str(self._settings)}
        with open(self._folder / f"{self.place.name}.log", "ab") as log:
            command = [sys.executable, "-m", _MODULE, program]
            self._process = subprocess.Popen(command, stdout=log, stderr=log, env=environment)
        self.lives.append(Life(time_ms()))

    def send(self, number: signal.Signals) -> bool:
        """Send a signal; False where no process is there, or it does not listen to signals yet."""
        if self._process is None or self._process.poll() is not None:
            return False
        if number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT) and not self._catches(number):
            return False
        self.lives[-1].signals.append((time_ms(), number))
        self._process.send_signal(number)
        return True

    def look(self) -> bool:
        """Whether the process ended since the last look; its end is then written down."""
        if self._process is None or (code := self._process.poll()) is None:
            return False
        self.lives[-1].ended_ms, self.lives[-1].code = time_ms(), code
        self._process = None
        return True

    def end(self) -> None:
        """End the process outright, if one runs."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self.lives[-1].signals.append((time_ms(), signal.SIGKILL))
            self.look()

    def _catches(self, number: signal.Signals) -> bool:
        """Whether the process has a handler for the signal: the time before Python's first line is no program's."""
        assert self._process is not None
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text("ascii")
        except OSError:
            return False
        return any(int(mask, 16) >> (number - 1) & 1 for mask in _caught(status))


def _caught(status: str) -> Iterator[str]:
    for line in status.splitlines():
        if line.startswith(("SigCgt:", "SigIgn:")):
            yield line.partition(":")[2].strip()
