"""The list of tests that are known to fail: its form is strict, and only what it names is passed over."""

import pytest

from known_red import KnownRed, mark_known_red, read_known_red


class _Item:
    def __init__(self, nodeid):
        self.nodeid, self.markers = nodeid, []

    def add_marker(self, marker):
        self.markers.append(marker)


def test_a_missing_file_lists_nothing(tmp_path):
    assert read_known_red(tmp_path / "KNOWN-RED.txt") == []


ENTRY = "tests/a.py::b | pytest tests/a.py, seed 1 | a torn file is voted on | issue 16\n"


@pytest.mark.parametrize(
    "text",
    [
        "tests/a.py::b",
        "tests/a.py::b | torn file | issue 16",  # the former form, without the command and what was seen
        "tests/a.py::b | pytest, seed 1 | | issue 16",
        "tests/a.py::b | pytest, seed 1 | torn file | 16",
        "tests/a.py::b | pytest, seed 1 | torn file | issue 16 | more",
        "tests/a.py::b | pytest, seed 1 | torn file | no issue 16",
        ENTRY * 4,
        "\n",
    ],
)
def test_a_list_out_of_form_is_refused(tmp_path, text):
    file = tmp_path / "KNOWN-RED.txt"
    file.write_text(text)
    with pytest.raises(pytest.UsageError):
        read_known_red(file)


def test_only_listed_tests_are_passed_over_and_all_must_exist(tmp_path):
    file = tmp_path / "KNOWN-RED.txt"
    file.write_text(ENTRY)
    known = read_known_red(file)
    assert known == [KnownRed("tests/a.py::b", "pytest tests/a.py, seed 1", "a torn file is voted on", "issue 16")]
    assert known[0].line() + "\n" == ENTRY
    listed, other = _Item("tests/a.py::b"), _Item("tests/a.py::c")
    mark_known_red([listed, other], known, must_exist=True)
    assert len(listed.markers) == 1 and other.markers == []
    with pytest.raises(pytest.UsageError):
        mark_known_red([other], known, must_exist=True)


@pytest.mark.parametrize(
    "name, exists",
    [
        ("review/2/run.sh", True),  # a script that the suite does not play
        ("review/9/run.sh", False),
        ("review/REPORT.md", False),  # no script
        ("review", False),
        ("tests/test_known_red.py", False),  # of the suite's files only what it collects can be named
        ("../outside.sh", False),
        ("", False),
    ],
)
def test_an_entry_names_a_collected_test_or_a_script_that_exists(name, exists):
    known = [KnownRed(name, "run it", "seen", "issue 16")]
    if exists:
        mark_known_red([], known, must_exist=True)
        return
    with pytest.raises(pytest.UsageError):
        mark_known_red([], known, must_exist=True)
