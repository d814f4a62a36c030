"""What each signal means in each phase of a program's life: real processes and signals, moments told by output."""

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
HANDLED = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
WITHOUT_MEANING = (signal.SIGUSR1, signal.SIGUSR2)


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


def started(program, folder, grace_s=1):
    settings = folder / f"{program}.yaml"
    settings.write_text(written_settings(program, folder, grace_s), "utf-8")
    return ProgramProcess(program, settings)


def test_no_signal_cuts_a_planned_stop_short(tmp_path):
    ends = {}
    for program in PROGRAMS:
        for number in (*HANDLED, *WITHOUT_MEANING):
            with started(program, tmp_path) as process:
                assert process.read_until("Now serving")
                process.send(signal.SIGTERM)
                assert process.read_until("Now stopping")
                process.send(number)
                ended = process.read_until("Now ending")
                ends[program, number.name] = (ended, process.code())
    assert ends == dict.fromkeys(ends, (True, 0))


def test_a_signal_before_the_doors_are_open_is_kept_until_then(tmp_path):
    """A settings file that is a pipe holds the program between its imports and the opening of its doors."""
    ends = {}
    for program in PROGRAMS:
        for number in (*HANDLED, *WITHOUT_MEANING):
            pipe = tmp_path / f"{program}-{number.name}"
            os.mkfifo(pipe)
            with ProgramProcess(program, pipe) as process, open(pipe, "w", encoding="utf-8") as settings:
                process.send(number)
                text = written_settings(program, tmp_path)
                pipe.unlink()
                pipe.write_text(text, "utf-8")  # what a SIGHUP has read again
                settings.write(text)
                settings.close()
                if number in (signal.SIGTERM, signal.SIGINT):
                    ended = process.read_until("Now ending")
                else:
                    ended = process.read_until("Now serving")
                    process.send(signal.SIGTERM)
                ends[program, number.name] = (ended, process.code())
    assert ends == dict.fromkeys(ends, (True, 0))


def test_a_serving_program_goes_on_after_signals_that_ask_for_no_stop(tmp_path):
    for program in PROGRAMS:
        settings = tmp_path / f"{program}.yaml"
        with started(program, tmp_path) as process:
            assert process.read_until("Now serving")
            for spoiled in (None, "", "seed_nodes: [", "- a list", "zone: 2001-99-99", "\x00"):
                settings.unlink(missing_ok=True)
                if spoiled is not None:
                    settings.write_text(spoiled, "utf-8")
                process.send(signal.SIGHUP)
                assert process.read_until("SIGHUP while serving")
                assert process.read_until("The settings cannot be read again")
            for number in WITHOUT_MEANING:
                process.send(number)
            process.send(signal.SIGTERM)
            assert process.read_until("SIGTERM while serving") and process.code() == 0


def test_a_signal_behind_the_stop_changes_nothing(tmp_path):
    ends = {}
    for program in PROGRAMS:
        for number in HANDLED:
            with started(program, tmp_path) as process:
                assert process.read_until("Now serving")
                process.send(signal.SIGTERM)
                assert process.read_until("Now ending")
                process.send(number)
                ends[program, number.name] = process.code()
    assert ends == dict.fromkeys(ends, 0)


def test_quit_and_kill_end_a_program_at_once_in_any_phase(tmp_path):
    for program in PROGRAMS:
        for phase in ("serving", "stopping"):
            for number in (signal.SIGQUIT, signal.SIGKILL):
                with started(program, tmp_path, grace_s=30) as process:
                    assert process.read_until("Now serving")
                    if phase == "stopping":
                        process.send(signal.SIGTERM)
                        assert process.read_until("Now stopping")
                    process.send(number)
                    assert (process.read_until("Now ending"), process.code()) == (False, -number)


def test_what_comes_to_a_frozen_program_is_taken_when_it_wakes(tmp_path):
    for program in PROGRAMS:
        with started(program, tmp_path) as process:
            assert process.read_until("Now serving")
            for number in (signal.SIGSTOP, signal.SIGHUP, signal.SIGTERM, signal.SIGCONT):
                process.send(number)
            assert process.read_until("Now stopping") and process.code() == 0
            assert any("SIGHUP while" in line for line in process.lines)


def test_the_commands_of_the_product_take_signals_alike(tmp_path):
    own, seeds = {}, [f"127.0.0.1:{free_port()}" for _ in range(3)]
    for program, flag in (("transit", "--platform"), ("accord", "--data")):
        place = ["--name", program, "--district", "d", "--address", seeds[0], "--http", f"127.0.0.1:{free_port()}"]
        last = CLOUD if program == "transit" else str(tmp_path / "data")
        flags = [*place, flag, last, *(part for seed in seeds for part in ("--seed", seed))]
        with ProgramProcess(program, None, *flags) as process:
            assert process.read_until("Now serving")
            process.send(signal.SIGHUP)
            assert process.read_until("SIGHUP while serving")
            process.send(signal.SIGINT)
            assert process.read_until("Now stopping")
            for number in HANDLED:
                process.send(number)
            own[program] = (process.read_until("Now ending"), process.code())
    assert own == {"transit": (True, 0), "accord": (True, 0)}
