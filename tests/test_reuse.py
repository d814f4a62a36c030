"""What is used again of an earlier writing, reading or check gives just what doing it anew would give."""

import json

import pytest

from finchswitch.configuration import (
    ConfigurationReader,
    apply_edits,
    edits_between,
    keep_unchanged,
    read_configuration,
)
from finchswitch.control.document import founding_document, grow, shrink, succeed
from finchswitch.simulation.slopes_control import configuration_of, route_edit
from finchswitch.storage import reuse
from finchswitch.storage.reuse import ReusingEncoder

GROUP = ["a", "b", "c"]


@pytest.mark.parametrize("values", [(1, True), (1, 1.0), (0, False), (0.0, -0.0)])
def test_a_change_between_values_that_python_holds_for_equal_reaches_every_store(values):
    before, after = ({"kept": {"note": {"origin": [value]}}} for value in values)
    base = {**founding_document("f", "creed", GROUP), "body": before}
    following = succeed(base, after, ["c1", "d", 1], GROUP)
    held = grow(base, json.loads(json.dumps(shrink(base, following))))
    assert json.dumps(held["body"]) == json.dumps(after)


def test_the_text_is_that_of_json_and_only_a_new_entry_is_encoded(monkeypatch):
    encoder, body = ReusingEncoder(4), configuration_of(50)
    encoder.encode({"document": {"body": body, "step": 1}})
    edited = apply_edits(body, route_edit()).unwrap()
    encoded = []

    class Counting(json.JSONEncoder):
        def encode(self, value):
            encoded.append(value)
            return super().encode(value)

    monkeypatch.setattr(reuse, "_ENCODER", Counting(separators=(",", ":")))
    content = {"document": {"body": edited, "step": 2}}
    text = encoder.encode(content)
    assert text == json.dumps(content, separators=(",", ":"))
    assert len([each for each in encoded if isinstance(each, dict)]) == 1


def test_blocks_in_a_list_are_encoded_once_and_stand_in_their_order():
    encoder, blocks = ReusingEncoder(2), [{"orders": "x", "generation": at} for at in range(3)]
    for content in (
        {"blocks": blocks},
        {"blocks": [*blocks[1:], {"orders": "y"}, 1, "é", None, []], "named": {"a": blocks[1]}},
    ):
        assert encoder.encode(content) == json.dumps(content, separators=(",", ":"))
    assert encoder.encode({"named": {"b": blocks[1]}, "blocks": blocks}) == json.dumps(
        {"named": {"b": blocks[1]}, "blocks": blocks}, separators=(",", ":")
    )


def test_memory_of_texts_does_not_grow_with_the_number_of_edits():
    encoder, body = ReusingEncoder(2), configuration_of(20)
    for at in range(200):
        body = apply_edits(body, route_edit(at % 20)).unwrap()
        encoder.encode(body)
    assert len(encoder._kept) == 44 and not encoder._before


WRONG_AFTER = [
    {"routes": {"tenant-00001": None}},
    {"routes": {"new": None}},
    {"services": {}},
    {"routes": {"twin": configuration_of(1)["routes"]["tenant-00000"]}},
    {"routes": {"tenant-00001": {**configuration_of(2)["routes"]["tenant-00001"], "timeoutMs": 0}}},
    {"routes": {"tenant-00000": {**configuration_of(1)["routes"]["tenant-00000"], "prefix": "x"}}},
    {"settings": {"spillShare": 7}},
]


@pytest.mark.parametrize("change", WRONG_AFTER)
def test_a_reader_names_the_same_faults_as_a_reading_of_the_whole(change):
    body, reader = configuration_of(4), ConfigurationReader()
    reader.read(body).unwrap()
    for kind, entries in change.items():
        merged = {**body[kind], **entries} if entries else entries
        raw = {**body, kind: merged}
        found = reader.read(keep_unchanged(body, json.loads(json.dumps(raw))))
        assert sorted(found.failure()) == sorted(read_configuration(raw).failure())
    assert reader.read(keep_unchanged(body, configuration_of(4))).unwrap() == read_configuration(body).unwrap()


def test_an_unchanged_entry_makes_no_edit():
    assert edits_between(configuration_of(3), configuration_of(3)) == []
