"""verify reads a data folder offline: what it holds when it is whole, and every kind of damage by name."""

import json

import pytest
from typer.testing import CliRunner

from finchswitch.control.document import succeed
from finchswitch.control.store import Store
from finchswitch.programs.cli import app
from finchswitch.programs.verify import verify_folder
from finchswitch.storage import RealDisk
from finchswitch.transport.real import RealWorld

RUN = CliRunner()


@pytest.fixture
def founded(tmp_path):
    store = Store(RealWorld(1), RealDisk(tmp_path / "data"), "a1")
    store.found([store.store, "a2-x", "a3-y"])
    acceptor = store.acceptors["creed"]
    acceptor.prepare((3, store.store))
    body = {"services": {"m": {}}, "routes": {}}
    acceptor.accept((3, store.store), succeed(acceptor.document, body, ["c", "d", 1], acceptor.document["group"]), None)
    return tmp_path / "data", store


def test_a_whole_folder_tells_what_it_holds(founded):
    folder, store = founded
    held, wrong = verify_folder(folder)
    assert wrong == [] and held["store"] == store.store and held["fleet"] == store.fleet
    configuration = held["parts"]["creed"]
    assert (
        configuration["generation"],
        configuration["step"],
        configuration["votes"],
        configuration["entries"]["services"],
    ) == (1, 1, True, 1)
    answer = RUN.invoke(app, ["verify", str(folder), "--json"])
    assert answer.exit_code == 0 and json.loads(answer.stdout)["held"] == json.loads(json.dumps(held))


def newest(folder):
    return max(each for each in folder.iterdir() if each.suffix == ".json")


def torn(folder):
    file = newest(folder / "creed")
    file.write_bytes(file.read_bytes()[:-20])


def swapped(folder):
    newest(folder / "part-0").unlink()
    for file in (folder / "part-0").iterdir():
        file.unlink()


def storeless(folder):
    for file in (folder / "store").iterdir():
        file.unlink()


def strange(folder):
    (folder / "notes").mkdir()


@pytest.mark.parametrize(
    "damage, said",
    [
        (torn, "torn: digest differs"),
        (swapped, "part-0: missing, though this store founded the fleet"),
        (storeless, "creed: a part without a store"),
        (strange, "notes: not a folder of a store"),
    ],
)
def test_damage_is_named_and_nothing_is_written(founded, damage, said):
    folder, _ = founded
    damage(folder)
    before = sorted((each, each.read_bytes()) for each in folder.rglob("*.json"))
    answer = RUN.invoke(app, ["verify", str(folder)])
    assert answer.exit_code == 1 and said in answer.output
    assert sorted((each, each.read_bytes()) for each in folder.rglob("*.json")) == before


def test_a_folder_that_is_not_there_is_said_so(tmp_path):
    answer = RUN.invoke(app, ["verify", str(tmp_path / "nowhere")])
    assert answer.exit_code == 2 and "no such folder" in answer.output
