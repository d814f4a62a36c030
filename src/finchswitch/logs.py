"""Logs: short sentences under a fixed prefix for each part.

``prefix("accord")`` gives that part's logger. ``to_stderr`` sets up a process's handler once.
"""

import sys

import logbook  # type: ignore[import-untyped]

__all__ = ["prefix", "to_stderr"]


def prefix(part: str) -> logbook.Logger:
    return logbook.Logger(part)


def to_stderr(level: str, name: str) -> None:
    form = "{record.time:%H:%M:%S.%f} " + name + " [{record.channel}] {record.level_name}: {record.message}"
    logbook.set_datetime_format("utc")
    logbook.StreamHandler(sys.stderr, level=level.upper(), format_string=form).push_application()
