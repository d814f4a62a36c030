"""Days written from a list of kinds: reading the list, drawing, and the TOML that comes out."""

import random
import tomllib
from pathlib import Path

import pytest
from typer.testing import CliRunner

from finchswitch.days.control_troubles import CONTROL_TROUBLES, LONG_CUT_S, available_control_troubles
from finchswitch.days.day import Closing, Day, Trouble
from finchswitch.days.fields import draw_trouble
from finchswitch.days.kinds import read_kinds
from finchswitch.days.shapes import Shape, draw_days
from finchswitch.days.toml import write_day
from finchswitch.errors import FleetError
from finchswitch.programs.cli import app

LIST = """Each entry has 'at' and 'kind'. for_s: how long (5). share: part of the things that fit, 0 to 1.

zone, service: where; left out, the day's seed picks. on: the class of machines.
closing = { kind = kill_all, down_s } strikes at the end (how timed: soon after it was sent).

surge: x times the traffic of a class (all)
srv_dull: share (.15) fail x (.4) of their requests; how: errors hang, slow (x (8) times as long), + far (only for some)
core_cut: count (1) counted machines are cut off from the others that count; how: one_way, both (all are restarted)
config_storm: a change each gap_s for for_s, or count of them
herd_kill: share (.6) are killed at once; how: power; on core: all of them; how taken: right after work was accepted

these may come too:
node_kill: share (.1) of the machines: SIGKILL; how: power (dark for for_s)
roll_term: share (1) get SIGTERM, x (1) at a time, each gap_s, and start again; how: remove (they leave)
hup: share (.3) get SIGHUP, over gap_s
lent_address: share (.15) end for good (how: drain, they drain; dark, they fall silent); others use their addresses
"""
KINDS = read_kinds(LIST)
BY_NAME = {each.name: each for each in KINDS}
DRAWS = 50


def test_both_groups_of_kinds_are_read_and_the_preamble_is_not():
    assert [each.name for each in KINDS if each.usual] == ["surge", "srv_dull", "core_cut", "config_storm", "herd_kill"]
    assert [each.name for each in KINDS if not each.usual] == ["node_kill", "roll_term", "hup", "lent_address"]


def test_variants_are_read_without_their_explanations():
    assert BY_NAME["srv_dull"].variants == ("errors", "hang", "slow", "far")
    assert BY_NAME["core_cut"].variants == ("one_way", "both")
    assert BY_NAME["herd_kill"].variants == ("power", "taken")
    assert BY_NAME["lent_address"].variants == ("drain", "dark")


def test_the_first_default_of_a_field_counts():
    assert BY_NAME["srv_dull"].fields == {"share": 0.15, "x": 0.4}
    assert BY_NAME["surge"].fields == {"x": None}


def test_a_text_without_kinds_is_an_error():
    with pytest.raises(FleetError):
        read_kinds("nothing here")


def test_an_aimed_kind_on_the_core_strikes_one_machine():
    drawn = draw_trouble(random.Random(1), BY_NAME["node_kill"], 4.0, on_core=True)
    assert drawn.fields["on"] == "core"
    assert drawn.fields["count"] == 1
    assert "share" not in drawn.fields


@pytest.mark.parametrize("kind", KINDS, ids=[each.name for each in KINDS])
def test_every_variant_of_a_kind_is_drawn_at_some_time(kind):
    rng = random.Random(2)
    drawn = {
        word for _ in range(20 * DRAWS) for word in str(draw_trouble(rng, kind, 1.0).fields.get("how", "")).split()
    }
    assert set(kind.variants) <= drawn


def test_control_troubles_come_only_where_all_their_kinds_are_listed():
    names = available_control_troubles(BY_NAME)
    assert "cut-both" in names
    assert "replace" not in names


@pytest.mark.parametrize("name", [each for each in CONTROL_TROUBLES if each.startswith("cut-")])
def test_a_cut_of_a_control_machine_is_long(name):
    cuts = [each for each in CONTROL_TROUBLES[name](random.Random(3), 5.0) if each.kind == "core_cut"]
    assert len(cuts) == 2 or cuts[0].fields["for_s"] == LONG_CUT_S


@pytest.mark.parametrize("shape", list(Shape))
def test_a_seed_draws_the_same_days_and_another_seed_others(shape):
    first, again, other = (list(draw_days(KINDS, shape, seed, 6)) for seed in (4, 4, 5))
    assert first == again
    assert first != other


@pytest.mark.parametrize("shape", list(Shape))
def test_troubles_lie_inside_the_day_and_each_day_has_a_change(shape):
    for day in draw_days(KINDS, shape, 6, DRAWS):
        assert all(0 < each.at_s < day.length_s for each in day.troubles)
        assert any(each.kind.endswith(("storm", "race", "config", "change")) for each in day.troubles)


def test_alone_takes_each_kind_in_turn():
    seen = {trouble.kind for day in draw_days(KINDS, Shape.ALONE, 7, len(KINDS)) for trouble in day.troubles}
    assert seen == set(BY_NAME)


def test_all_shapes_in_turn_still_take_every_kind_alone():
    days = [day for day in draw_days(KINDS, Shape.ALL, 7, len(Shape) * len(KINDS)) if day.name.startswith("alone")]
    assert {trouble.kind for day in days for trouble in day.troubles} == set(BY_NAME)


def test_pairs_bring_every_kind_together_with_every_control_trouble():
    controls = available_control_troubles(BY_NAME)
    pairs = set()
    for number, day in enumerate(draw_days(KINDS, Shape.PAIR, 8, len(KINDS) * len(controls))):
        pairs |= {(controls[number % len(controls)], trouble.kind) for trouble in day.troubles}
    assert all((name, kind) in pairs for name in controls for kind in BY_NAME)


def test_every_closing_fault_is_drawn():
    closings = {day.closing.kind for day in draw_days(KINDS, Shape.MIXED, 9, DRAWS) if day.closing}
    assert closings == {"power_off_all", "kill_all", "wipe_after_ack"}


def test_a_day_of_recovery_loses_all_machines_while_trouble_lasts():
    for day in draw_days(KINDS, Shape.RECOVERY, 10, DRAWS):
        assert day.closing and day.closing.kind in {"power_off_all", "kill_all"}
        lasting = [each for each in day.troubles if each.kind != "config_storm"]
        assert lasting and all(float(each.fields["for_s"]) >= 15 for each in lasting)
        assert all(float(each.fields.get("share", 0.5)) >= 0.5 for each in lasting)


def test_planned_work_and_faults_are_written_apart_in_order_of_time():
    kill = Trouble(9.0, "node_kill", {"on": "core", "count": 1, "how": "power leader"})
    cut = Trouble(2.5, "core_cut", {"for_s": 20.0})
    storm = Trouble(1.0, "config_storm", {"gap_s": 0.1})
    day = Day("three", 5, 40.0, (kill, cut, storm), Closing("kill_all", 1.2, "timed"))
    read = tomllib.loads(write_day(day))
    assert read["plan"] == [{"at": 1.0, "kind": "config_storm", "gap_s": 0.1}]
    assert [each["kind"] for each in read["faults"]] == ["core_cut", "node_kill"]
    assert read["faults"][1]["how"] == "power leader"
    assert read["closing"] == {"kind": "kill_all", "down_s": 1.2, "how": "timed"}


def test_the_command_writes_one_readable_file_a_day(tmp_path: Path):
    kinds = tmp_path / "kinds.txt"
    kinds.write_text(LIST)
    done = CliRunner().invoke(app, ["days", str(kinds), "--out", str(tmp_path / "out"), "--seed", "3", "--count", "5"])
    assert done.exit_code == 0
    files = sorted((tmp_path / "out").glob("*.toml"))
    assert [str(each) for each in files] == sorted(done.output.split())
    assert len({tomllib.loads(each.read_text())["seed"] for each in files}) == 5


def test_the_command_refuses_a_text_without_kinds(tmp_path: Path):
    kinds = tmp_path / "kinds.txt"
    kinds.write_text("nothing here\n")
    done = CliRunner().invoke(app, ["days", str(kinds), "--out", str(tmp_path / "out")])
    assert done.exit_code == 2


def test_a_planned_day_holds_no_fault_and_signals_beside_its_restarts():
    for day in draw_days(KINDS, Shape.PLANNED, seed=1, count=DRAWS):
        named = [each.kind for each in day.troubles]
        assert day.closing is None and set(named) <= {"roll_term", "hup", "config_storm"}
        assert named.count("roll_term") >= 2 and named.count("hup") >= 5
        assert "faults = [\n]" in write_day(day)
