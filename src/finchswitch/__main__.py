"""The command ``finchswitch``, also as ``python -m finchswitch``."""

import sys

from finchswitch.programs.signals import process_signals

__all__ = ["main"]

_PROGRAMS = ("transit", "accord")


def main() -> None:
    """Run the command line; the programs among its commands hold signals before anything large is imported."""
    if sys.argv[1:2] not in ([program] for program in _PROGRAMS):
        return _command_line()
    signals = process_signals()
    try:
        _command_line()
    finally:
        signals.discard()


def _command_line() -> None:
    from finchswitch.programs.cli import main as run

    run()


if __name__ == "__main__":
    main()
