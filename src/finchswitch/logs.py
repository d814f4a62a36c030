"""Logs: short sentences under a fixed prefix for each part.

``prefix("accord")`` gives that part's logger. ``to_stderr`` sets up a process's handler once: sentences for people, or
one JSON object a line with fixed fields for programs. An error in a sentence also stands there by its step and peer.
"""

import json
import sys
from typing import Any

import logbook  # type: ignore[import-untyped]

from finchswitch.errors import FleetError

__all__ = ["FORMS", "line_of", "prefix", "to_stderr"]

FORMS = ("text", "json")


def prefix(part: str) -> logbook.Logger:
    return logbook.Logger(part)


def line_of(record: Any, name: str) -> str:
    """A record as one line of JSON: time, process, part, level, text, and the step and peer of the error it names."""
    line = {
        "time": record.time.isoformat() if record.time else "",
        "process": name,
        "part": record.channel,
        "level": record.level_name.lower(),
        "text": record.message,
    }
    error = next((each for each in record.args if isinstance(each, FleetError)), None)
    if error is not None:
        line.update({"step": error.step, "peer": error.peer, "kind": error.kind.value})
    return json.dumps(line)


def to_stderr(level: str, name: str, form: str = "text") -> None:
    if form == "json":
        logbook.set_datetime_format("utc")
        handler = logbook.StreamHandler(sys.stderr, level=level.upper())
        handler.formatter = lambda record, _: line_of(record, name)
        handler.push_application()
        return
    form = "{record.time:%H:%M:%S.%f} " + name + " [{record.channel}] {record.level_name}: {record.message}"
    logbook.set_datetime_format("utc")
    logbook.StreamHandler(sys.stderr, level=level.upper(), format_string=form).push_application()
