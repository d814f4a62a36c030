"""A program as a real process for tests: its settings file, its output line by line, and its signals."""

import os
import signal
import socket
import subprocess
import sys
import threading
from pathlib import Path

import yaml

from finchswitch.platform.settings import BOOT
from finchswitch.platform.stand_in_settings import Place, settings_fields

PROGRAMS = ("transit", "accord")
CLOUD = "127.0.0.1:9"
_WAIT_S = 60


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def written_settings(program, folder, grace_s=1):
    """The text of a settings file for a program that stands alone, on ports that are free."""
    place = Place(program, "127.0.0.1", "hill", program == "transit", str(folder / "data"), {"grace_s": grace_s})
    fields = settings_fields(place, ["127.0.0.1"], CLOUD, first_start=False)
    fields["internal_port_range"] = [free_port()] * 2
    for name in fields["listen_addresses"]:
        fields["listen_addresses"][name] = f"127.0.0.1:{free_port()}"
    return yaml.safe_dump(fields)


class ProgramProcess:
    """One program; leaving the block ends it outright if it still runs."""

    def __init__(self, program, settings: Path | None, *flags):
        """Start it on the platform with a settings file, or as a command of the product with flags alone."""
        module = "finchswitch.platform" if settings else "finchswitch"
        command = [sys.executable, "-m", module, program, *flags]
        environment = {**os.environ, BOOT: str(settings)}
        self._process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True, env=environment)
        self._watchdog = threading.Timer(_WAIT_S, self._process.kill)
        self._watchdog.start()
        self.lines = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self._watchdog.cancel()
        self._process.kill()
        self._process.wait()
        self._process.stderr.close()

    def send(self, number: signal.Signals):
        self._process.send_signal(number)

    def read_until(self, text) -> bool:
        """Whether a line of the output holds the text; False when the output ended before, or the process was silent.

        A process that hangs is ended outright after a minute, so that no test waits for ever.
        """
        for line in self._process.stderr:
            self.lines.append(line)
            if text in line:
                return True
        return False

    def code(self) -> int:
        """The exit code, waited for."""
        self.lines += self._process.stderr.readlines()
        return self._process.wait(_WAIT_S)
