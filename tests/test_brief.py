"""What docs/brief.md names exists, and every line of the list is there; no file is over 250 lines."""

import re
from pathlib import Path

from finchswitch.programs.faults import FAULTS
from finchswitch.simulation.checkers import CHECKERS
from finchswitch.simulation.sweep import ALL

ROOT = Path(__file__).parent.parent
TEXT = (ROOT / "docs" / "brief.md").read_text()
CASES = (ROOT / "tests" / "test_guards.py").read_text().partition("CASES = [")[2]
GUARDS = set(re.findall(r"^    \((with\w+),", CASES, re.MULTILINE))
NAMED = re.findall(r"`([^`]+)`", TEXT)


def test_what_the_page_names_exists():
    stage = set(re.findall(r"stage `([a-z]+)`", TEXT))
    assert stage <= set(FAULTS)
    for name in NAMED:
        if name.startswith(("with_", "without_")):
            assert name in GUARDS, name
        elif "/" in name:
            assert (ROOT / name).is_file(), name
        elif re.fullmatch(r"[a-z-]+", name) and name not in {*stage, "not-run", "stage", "planned"}:
            assert name in ALL, name


def test_every_guard_every_scene_and_every_line_is_on_the_page():
    assert GUARDS <= set(NAMED)
    unnamed = {"steady", "callers-leave", "plan-paused-and-abandoned", "plan-met-by-failure", "plan-overlap"}
    assert set(ALL) - unnamed <= set(NAMED)
    table = TEXT.partition("## What must never happen")[2].partition("##")[0]
    assert len(re.findall(r"^\| (?!line|---)", table, re.MULTILINE)) == 12
    assert len(CHECKERS) >= 12


def test_no_file_is_over_250_lines():
    for file in [*(ROOT / "src").rglob("*.py"), *(ROOT / "tests").rglob("*.py")]:
        assert len(file.read_text().splitlines()) <= 250, file
