"""The tool that measures slopes: its shape, and what must hold of its counts on any machine; times are not judged."""

import json
import subprocess
import sys
from dataclasses import replace

import pytest

from finchswitch.configuration import apply_edits, check, read_configuration
from finchswitch.simulation.hollow import HollowRun, run_hollow
from finchswitch.simulation.slopes import measure_slopes
from finchswitch.simulation.slopes_control import configuration_of, control_subjects, route_edit
from finchswitch.simulation.slopes_memory import memory_subjects
from finchswitch.simulation.slopes_nodes import node_subjects

SIZES = {"grant": (5, 10), "list told": (10, 20), "ask and answer": (0, 1_000), "memory, belief": (1_000, 2_000)}


@pytest.fixture(scope="module")
def lines():
    """Every subject at two or three small sizes, each act done once a batch."""
    subjects = [*node_subjects(), *control_subjects(), *memory_subjects()]
    small = [replace(each, sizes=SIZES.get(each.name, (4, 8, 16))) for each in subjects]
    shown = measure_slopes(small, 0.0)
    assert len(shown["subjects"]) == len(subjects)  # no two have the same name
    return {name: each["lines"] for name, each in shown["subjects"].items()}


def test_every_line_has_its_points_and_its_unit(lines):
    for name, each in lines.items():
        for quantity, line in each.items():
            assert quantity.endswith(("_us", "_bytes")) or quantity == "bytes", (name, quantity)
            assert set(line) == {"intercept", "slope", "explained", "points"}
            assert all(value > 0 for _, value in line["points"]), (name, quantity)


@pytest.mark.parametrize("what", ["runners", "waiting", "openings", "services"])
def test_a_beat_grows_with_what_it_tells(lines, what):
    line = lines[f"peer beat, {what}"]["bytes"]
    values = [value for _, value in line["points"]]
    assert values == sorted(set(values))
    assert line["slope"] > 10


def test_a_session_is_answered_with_every_member_and_asked_with_none(lines):
    assert lines["session beat"]["ask_bytes"]["slope"] == 0
    assert lines["session beat"]["answer_bytes"]["slope"] > 50
    assert lines["kin beat"]["bytes"]["slope"] > 100


def test_an_edit_is_told_and_voted_on_at_its_own_size_while_the_document_is_written_whole(lines):
    assert lines["one edit"]["edit_bytes"]["slope"] == 0
    assert lines["commit"]["vote_bytes"]["slope"] == 0
    assert lines["one edit"]["whole_bytes"]["slope"] > 100
    assert lines["commit"]["written_bytes"]["slope"] > 100


def test_one_edit_is_read_and_the_other_routes_are_only_carried_over(monkeypatch):
    """Whatever the number of routes, the edited one and the settings are read; the rest are the very same objects."""
    read = []

    def counted(shape, value, where):
        read.append(shape)
        return read_one(shape, value, where)

    read_one = check._read
    for routes in (10, 200):
        body = configuration_of(routes)
        configuration = read_configuration(body).unwrap()
        edited = apply_edits(body, route_edit()).unwrap()
        monkeypatch.setattr(check, "_read", counted)
        following = read_configuration(edited, (body, configuration)).unwrap()
        monkeypatch.undo()
        assert len(read) == 2
        read.clear()
        changed = [name for name, route in following.routes.items() if route is not configuration.routes[name]]
        assert changed == ["tenant-00000"]


def test_what_is_kept_takes_memory_by_its_number(lines):
    for name in (each for each in lines if each.startswith("memory")):
        assert 20 < lines[name]["kept_bytes"]["slope"] < 200_000, name


def test_the_command_prints_json_and_names_its_subjects():
    run = "from finchswitch.programs.cli import main; main()"
    asked = [sys.executable, "-c", run, "slopes", "--effort-ms", "0", "--only"]
    done = subprocess.run([*asked, "tree"], capture_output=True, text=True, timeout=60)
    assert (done.returncode, list(json.loads(done.stdout)["subjects"])) == (0, ["tree and duty"])
    done = subprocess.run([*asked, "nothing of this name"], capture_output=True, text=True, timeout=60)
    assert done.returncode == 2
    assert "session beat" in done.stderr


def test_hollow_nodes_are_all_listed_and_a_change_reaches_each():
    few, more = (run_hollow(HollowRun(nodes, watch_s=1.0, changes=1)) for nodes in (3, 6))
    for run in (few, more):
        assert run["fewestListed"] == run["nodes"]
        assert len(run["inForceMs"]) == 1
    assert more["nodeMessagesPerS"] > few["nodeMessagesPerS"]
    assert more["nodeBytesPerS"] > few["nodeBytesPerS"]


def test_the_scale_run_is_a_command_too():
    run = "from finchswitch.programs.cli import main; main()"
    asked = [sys.executable, "-c", run, "hollow", "--nodes"]
    done = subprocess.run([*asked, "2"], capture_output=True, text=True, timeout=120)
    assert (done.returncode, json.loads(done.stdout)["fewestListed"]) == (0, 2)
    assert subprocess.run([*asked, "1"], capture_output=True, text=True, timeout=60).returncode == 2
