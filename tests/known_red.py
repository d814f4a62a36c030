"""Tests that are known to fail for a real fault: passed over by the suite, and printed at its end."""

from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import pytest

KNOWN_RED_FILE = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
KNOWN_RED_MOST = 3


class KnownRed(NamedTuple):
    """One line of the list: the test's id, why it fails, and the issue that it belongs to."""

    test: str
    cause: str
    issue: str


def read_known_red(file: Path) -> list[KnownRed]:
    """The listed tests; raises a ``pytest.UsageError`` for a line out of form, or for more lines than allowed."""
    if not file.exists():
        return []
    known = []
    for line in file.read_text().splitlines():
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise pytest.UsageError(f"{file.name}: 'test | cause | issue' is needed: {line!r}")
        known.append(KnownRed(*fields))
    if len(known) > KNOWN_RED_MOST:
        raise pytest.UsageError(f"{file.name}: {len(known)} tests, {KNOWN_RED_MOST} at most")
    return known


def mark_known_red(items: Sequence[pytest.Item], known: list[KnownRed], must_exist: bool) -> None:
    """Skip just the listed tests; raises a ``pytest.UsageError`` for a listed test that does not exist."""
    by_id = {item.nodeid: item for item in items}
    for each in known:
        if each.test in by_id:
            by_id[each.test].add_marker(pytest.mark.skip(reason=f"known red: {each.cause} ({each.issue})"))
        elif must_exist:
            raise pytest.UsageError(f"{KNOWN_RED_FILE.name}: no such test: {each.test}")
