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


@pytest.mark.parametrize("text", ["tests/a.py::b", "tests/a.py::b | | 16", "a | b | c\n" * 4, "\n"])
def test_a_list_out_of_form_is_refused(tmp_path, text):
    file = tmp_path / "KNOWN-RED.txt"
    file.write_text(text)
    with pytest.raises(pytest.UsageError):
        read_known_red(file)


def test_only_listed_tests_are_passed_over_and_all_must_exist(tmp_path):
    file = tmp_path / "KNOWN-RED.txt"
    file.write_text("tests/a.py::b | torn file | 16\n")
    known = read_known_red(file)
    assert known == [KnownRed("tests/a.py::b", "torn file", "16")]
    listed, other = _Item("tests/a.py::b"), _Item("tests/a.py::c")
    mark_known_red([listed, other], known, must_exist=True)
    assert len(listed.markers) == 1 and other.markers == []
    with pytest.raises(pytest.UsageError):
        mark_known_red([other], known, must_exist=True)
