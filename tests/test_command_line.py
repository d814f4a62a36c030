"""The command line: checked settings, useful exit codes, and mirror."""

import json
import socket

import logbook
import pytest
from typer.testing import CliRunner

import finchswitch.programs.cli
import finchswitch.storage
from finchswitch.errors import FleetError
from finchswitch.logs import line_of, prefix
from finchswitch.programs.cli import app
from finchswitch.programs.startup import read_startup
from finchswitch.storage import RealDisk, VersionedFile

RUN = CliRunner()
SOUND = {
    "name": "a1",
    "address": "127.0.0.1:7100",
    "http": "127.0.0.1:8000",
    "district": "d",
    "seeds": ["127.0.0.1:7100", "127.0.0.1:7101", "127.0.0.1:7102"],
}
BELIEFS = {"name": "t1", "generations": {"creed": 3}, "members": ["t1"]}
BELIEFS.update({"runners": {}, "homes": {"m": ["r1"]}, "hot": {}, "plans": {}, "fences": {}})


@pytest.mark.parametrize(
    "changed, fault",
    [
        ({"address": "box:7100"}, "address: box is not an IP number"),
        ({"http": "127.0.0.1:70000"}, "http: port 70000 is not within 1 and 65535"),
        ({"district": None}, "district: missing"),
        ({"colour": "red"}, "colour: no such setting for accord"),
        ({"seeds": ["127.0.0.1:1"]}, "seeds: three addresses are needed, 1 given"),
        ({"http": "127.0.0.1:7100"}, "http: the same as address"),
        ({"log_form": "xml"}, "log_form: one of text, json"),
        ({"log": "loud"}, "log: one of debug, info, notice, warning, error"),
        ({"data": "/proc/nowhere"}, "data: /proc/nowhere cannot be written: No such file or directory"),
    ],
)
def test_each_wrong_setting_is_one_line(tmp_path, changed, fault):
    settings = {**SOUND, "data": str(tmp_path / "data"), **changed}
    assert read_startup("accord", None, settings).failure() == [fault]


def test_a_program_with_wrong_settings_ends_with_2_and_opens_nothing(tmp_path):
    file = tmp_path / "a.toml"
    file.write_text('name = "a1"\naddress = "127.0.0.1:7100"\n')
    result = RUN.invoke(app, ["accord", "--file", str(file), "--data", str(tmp_path / "data")])
    assert result.exit_code == 2
    assert result.stderr.splitlines()[0] == "http: missing"
    assert not (tmp_path / "data").exists()


def test_check_names_every_bad_field(tmp_path):
    file = tmp_path / "c.json"
    file.write_text('{"services": {"m": {"dueMs": "x"}}, "plans": {"p": 3}, "extra": {}}')
    result = RUN.invoke(app, ["check", str(file)])
    assert result.exit_code == 2 and len(result.stderr.splitlines()) == 3
    file.write_text('{"services": {"m": {}, "m": {}}}')
    result = RUN.invoke(app, ["check", str(file)])
    assert result.exit_code == 2 and "m: stands twice" in result.stderr


@pytest.mark.parametrize(
    "changed, fault",
    [
        ({"plans": {"p": {"leaving": ["r1", "r2"], "arriving": [], "bindings": ["m"]}}}, "no runner left"),
        ({"plans": {"p": {"leaving": ["r9"], "arriving": [], "bindings": ["m"]}}}, "unknown runner r9"),
        (
            {"plans": {n: {"leaving": ["r1"], "arriving": [], "bindings": ["m"]} for n in "pq"}},
            "plans.q: r1 is in plan p already",
        ),
        ({"bindings": {"m": {"service": "m", "runners": ["r1", "r1"]}}}, "r1 stands twice"),
        ({"settings": {"triesShare": 0.5}}, "settings.triesShare: 0.5 is not within 0 and 0.2"),
        ({"runners": {"r1": {"slots": 0}, "r2": {}}}, "runners.r1.slots: 0 is not within 1 and 10000"),
    ],
)
def test_a_configuration_that_cannot_work_is_refused(tmp_path, changed, fault):
    sound = {
        "services": {"m": {}},
        "runners": {"r1": {}, "r2": {}},
        "bindings": {"m": {"service": "m", "runners": ["r1", "r2"]}},
    }
    file = tmp_path / "c.json"
    file.write_text(json.dumps(sound))
    assert RUN.invoke(app, ["check", str(file)]).exit_code == 0
    file.write_text(json.dumps({**sound, **changed}))
    result = RUN.invoke(app, ["check", str(file)])
    assert result.exit_code == 2 and fault in result.stderr


def test_mirror_tells_same_from_differing_and_names_what_it_cannot_read(tmp_path):
    one, two, broken = (tmp_path / name for name in ("one", "two", "broken"))
    one.write_text(json.dumps(BELIEFS))
    two.write_text(json.dumps({**BELIEFS, "name": "t2", "generations": {"creed": 4}}))
    broken.write_text("{")
    assert RUN.invoke(app, ["mirror", str(one), str(one)]).exit_code == 0
    differing = RUN.invoke(app, ["mirror", str(one), str(two)])
    assert differing.exit_code == 1 and "generations.creed: 3 / 4" in differing.stdout
    two.write_text(json.dumps({**BELIEFS, "homes": {"m": ["r2"]}}))
    assert "homes.m: ['r1'] / ['r2']" in RUN.invoke(app, ["mirror", str(one), str(two)]).stdout
    assert RUN.invoke(app, ["mirror", str(one), str(broken)]).exit_code == 2
    assert RUN.invoke(app, ["mirror", str(one), "127.0.0.1:1"]).exit_code == 3


def test_an_unreachable_desk_is_3_and_an_unknown_fate_is_5(tmp_path):
    file = tmp_path / "c.json"
    file.write_text("{}")
    assert RUN.invoke(app, ["members", "--at", "127.0.0.1:1"]).exit_code == 3
    sent = RUN.invoke(app, ["change", str(file), "--at", "127.0.0.1:1", "--base", "0", "--id", "x"])
    assert sent.exit_code == 5 and "--id x --base 0" in sent.stderr


@pytest.mark.parametrize("which", ["address", "http"])
def test_an_address_in_use_is_one_line_and_no_traceback(tmp_path, monkeypatch, which):
    monkeypatch.setattr(finchswitch.programs.cli, "to_stderr", lambda level, name, form: None)
    with socket.socket() as taken, socket.socket() as free:
        for each in (taken, free):
            each.bind(("127.0.0.1", 0))
        taken.listen()
        busy, other = (f"127.0.0.1:{each.getsockname()[1]}" for each in (taken, free))
        free.close()
        file = tmp_path / "a.toml"
        places = {"address": other, "http": other, which: busy}
        file.write_text("\n".join(f"{name} = {json.dumps(value)}" for name, value in {**SOUND, **places}.items()))
        result = RUN.invoke(app, ["accord", "--file", str(file), "--data", str(tmp_path / "data"), "--log", "error"])
    assert result.exit_code == 1
    assert [line for line in result.stderr.splitlines() if "ends:" in line] == [
        f"accord a1 ends: listen at {busy}: refused: Address already in use"
    ]
    assert "Traceback" not in result.stderr


def test_a_folder_of_a_newer_version_is_named_and_left(tmp_path, monkeypatch):
    monkeypatch.setattr(finchswitch.programs.cli, "to_stderr", lambda level, name, form: None)
    monkeypatch.setattr(finchswitch.storage, "STORAGE_FORMAT", 2)
    VersionedFile(RealDisk(tmp_path / "data"), "store").put({"store": "s", "fleet": "f", "founders": []})
    file = tmp_path / "a.toml"
    file.write_text("\n".join(f"{name} = {json.dumps(value)}" for name, value in SOUND.items()))
    result = RUN.invoke(app, ["accord", "--file", str(file), "--data", str(tmp_path / "data")])
    assert result.exit_code == 1 and "newer format" in result.stderr and "Traceback" not in result.stderr
    assert len(list((tmp_path / "data" / "store").iterdir())) == 1


def test_a_log_line_for_programs_has_fixed_fields_and_a_mishaps_step_and_peer():
    with logbook.TestHandler() as caught:
        prefix("call").warning("A try failed. {}", FleetError.silent("connect", "r1", "no answer"))
        prefix("relay").info("creed is at generation {}.", 4)
    first, second = (json.loads(line_of(record, "t1")) for record in caught.records)
    assert {each: first[each] for each in ("process", "part", "level", "step", "peer", "kind")} == {
        "process": "t1",
        "part": "call",
        "level": "warning",
        "step": "connect",
        "peer": "r1",
        "kind": "silent",
    }
    assert set(second) == {"time", "process", "part", "level", "text"}
    assert second["text"] == "creed is at generation 4."
