"""What each signal means in each phase of a program's life: real processes and signals, moments told by output."""

import os
import signal

from processes import PROGRAMS, ProgramProcess, written_settings

HANDLED = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
WITHOUT_MEANING = (signal.SIGUSR1, signal.SIGUSR2)


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
