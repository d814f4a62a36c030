"""The operator's documents: put into the product's configuration, refused by the operator's names, and read back."""

import copy
import json

import pytest
from returns.result import Failure

from finchswitch.configuration import Repeat, apply_edits, read_configuration
from finchswitch.platform.configuration import document_of, edits_of, named, whole_of

ROUTE = {
    "name": "r-1",
    "host_name": "one.example",
    "path_prefix": "/a/",
    "route_type": "streaming",
    "timeout_ms": 10_000,
    "target_latency_ms": 800,
    "priority_level": 1,
    "weighted_targets": [{"target_service": "s-1", "weight": 90}, {"target_service": "s-2", "weight": 10}],
    "max_attempts": 2,
    "session_affinity": True,
    "stream_resumption": True,
    "target_gap_ms": 200,
}
PLAIN = {
    "name": "r-2",
    "host_name": "two.example",
    "path_prefix": "/b/",
    "route_type": "unsafe",
    "timeout_ms": 5_000,
    "target_latency_ms": 400,
    "priority_level": 0,
    "target_service": "s-1",
    "max_attempts": 1,
}
ENGINE = {"capacity_slots": 64, "kv_capacity": 443_888, "link_mbps": 550_000.0, "models": [{"name": "m"}]}
SERVICE = {"name": "s-1", "health_path": "/health", "max_connections": 370, "protocol": "h1", "engine": ENGINE}
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
WHOLE = {"revision": 7, "routes": [ROUTE, PLAIN], "services": [SERVICE, {"name": "s-2"}], "limits": LIMITS}


def changed(**fields):
    """The whole configuration with other fields in its first route; a field that is None is left out."""
    document = copy.deepcopy(WHOLE)
    document["routes"][0].update(fields)
    for name in [name for name, value in fields.items() if value is None]:
        del document["routes"][0][name]
    return document


def faults_of(document):
    """What an operator is told of a whole configuration: faults of its shape, or of what it says."""
    body = whole_of(document)
    if isinstance(body, Failure):
        return body.failure()
    configuration = read_configuration(body.unwrap())
    return [named(each) for each in configuration.failure()] if isinstance(configuration, Failure) else []


def edited(document, patch):
    return apply_edits(whole_of(document).unwrap(), edits_of(patch).unwrap()).unwrap()


def test_a_route_and_its_service_are_what_the_operator_said():
    configuration = read_configuration(whole_of(WHOLE).unwrap()).unwrap()
    route, plain, service = configuration.routes["r-1"], configuration.routes["r-2"], configuration.services["s-1"]
    assert (route.host, route.prefix, route.targets) == ("one.example", "/a/", {"s-1": 90, "s-2": 10})
    assert (route.timeout_ms, route.first_aim_ms, route.gap_aim_ms) == (10_000, 800, 200)
    assert (route.most_runners, route.rank, route.repeat) == (2, 1, Repeat.RESUME)
    assert (plain.targets, plain.most_runners, plain.repeat) == ({"s-1": 1}, 1, Repeat.NEVER)
    assert (service.listed, service.slots, service.memory_tokens) == (True, 64, 443_888)
    assert (service.connections_most, service.health_path) == (370, "/health")
    settings = configuration.settings
    assert (settings.revision, settings.head_most_bytes, settings.body_most_bytes) == (7, 16_384, 4_194_304)
    assert (settings.head_wait_ms, settings.idle_wait_ms) == (3_000, 15_000)


@pytest.mark.parametrize(
    "kind, resumption, repeat",
    [
        ("safe", False, Repeat.ALWAYS),
        ("unsafe", False, Repeat.NEVER),
        ("streaming", False, Repeat.NEVER),
        ("streaming", True, Repeat.RESUME),
    ],
)
def test_only_what_the_route_allows_is_repeated(kind, resumption, repeat):
    document = changed(route_type=kind, stream_resumption=resumption)
    assert read_configuration(whole_of(document).unwrap()).unwrap().routes["r-1"].repeat is repeat


def test_weights_of_one_service_add_up():
    twice = [{"target_service": "s-1", "weight": 90}, {"target_service": "s-1", "weight": 10}]
    configuration = read_configuration(whole_of(changed(weighted_targets=twice)).unwrap()).unwrap()
    assert configuration.routes["r-1"].targets == {"s-1": 100}


NOT_WHOLE = [
    (None, "configuration: not an object"),
    ([], "configuration: not an object"),
    ("x", "configuration: not an object"),
    ({**WHOLE, "routes": {}}, "routes: not a list"),
    ({**WHOLE, "services": None}, "services: not a list"),
    ({**WHOLE, "routes": ["r"]}, "routes.0: an object with a name is needed"),
    ({**WHOLE, "routes": [{**ROUTE, "name": 3}]}, "routes.0: an object with a name is needed"),
    ({**WHOLE, "routes": [ROUTE, ROUTE]}, "routes.1.name: r-1 stands twice"),
    ({**WHOLE, "limits": []}, "limits: not an object"),
    *(({**WHOLE, "revision": each}, "revision: a whole number is needed") for each in (None, "7", 7.0, True, -1)),
    ({"routes": [], "services": []}, "revision: a whole number is needed"),
]


@pytest.mark.parametrize("document, fault", NOT_WHOLE)
def test_what_cannot_be_read_whole_is_refused(document, fault):
    assert faults_of(document) == [fault]


SAYS_WRONG = [
    (changed(weighted_targets=[{"target_service": "s-9", "weight": 1}]), "routes.r-1.target_service"),
    (changed(weighted_targets=None, target_service="s-9"), "routes.r-1.target_service"),
    (changed(host_name="two.example", path_prefix="/b/"), "routes.r-2.path_prefix"),
    (changed(host_name="TWO.example", path_prefix="/b/"), "routes.r-2.path_prefix"),
    (changed(weighted_targets=[{"target_service": "s-1", "weight": 0}]), "routes.r-1.weighted_targets"),
    (changed(weighted_targets=[]), "routes.r-1.weighted_targets"),
    (changed(weighted_targets=[{"target_service": "s-1", "weight": -1}]), "routes.r-1.weighted_targets"),
    (changed(weighted_targets=[{"target_service": "s-1", "weight": 0.5}]), "routes.r-1.weighted_targets"),
    (changed(weighted_targets=[{"target_service": "s-1"}, 5]), "routes.r-1.weighted_targets"),
    (changed(weighted_targets=[{"weight": 5}, {"target_service": "s-1"}]), "routes.r-1.weighted_targets"),
    (changed(weighted_targets=5), "routes.r-1.weighted_targets"),
    (changed(weighted_targets=True), "routes.r-1.weighted_targets"),
    (changed(timeout_ms=0), "routes.r-1.timeout_ms"),
    (changed(timeout_ms=-5), "routes.r-1.timeout_ms"),
    (changed(timeout_ms="10"), "routes.r-1.timeout_ms"),
    (changed(timeout_ms=None), "routes.r-1.timeout_ms"),
    (changed(host_name=None), "routes.r-1.host_name"),
    (changed(host_name=5), "routes.r-1.host_name"),
    (changed(path_prefix=None), "routes.r-1.path_prefix"),
    (changed(path_prefix="a/"), "routes.r-1.path_prefix"),
    (changed(path_prefix="/a"), "routes.r-1.path_prefix"),
    (changed(max_attempts=0), "routes.r-1.max_attempts"),
    (changed(target_latency_ms="soon"), "routes.r-1.target_latency_ms"),
    (changed(target_gap_ms=0.5), "routes.r-1.target_gap_ms"),
    (changed(priority_level="high"), "routes.r-1.priority_level"),
    ({**WHOLE, "limits": {"max_body_bytes": "big"}}, "limits.max_body_bytes"),
    ({**WHOLE, "limits": {"idle_timeout_ms": None}}, "limits.idle_timeout_ms"),
    ({**WHOLE, "services": [{**SERVICE, "health_path": 1}, {"name": "s-2"}]}, "services.s-1.health_path"),
    ({**WHOLE, "services": [{**SERVICE, "max_connections": "x"}, {"name": "s-2"}]}, "services.s-1.max_connections"),
    (
        {**WHOLE, "services": [{**SERVICE, "engine": {"capacity_slots": 0}}, {"name": "s-2"}]},
        "services.s-1.engine.capacity_slots",
    ),
    (
        {**WHOLE, "services": [{**SERVICE, "engine": {"kv_capacity": "x"}}, {"name": "s-2"}]},
        "services.s-1.engine.kv_capacity",
    ),
]


@pytest.mark.parametrize("document, field", SAYS_WRONG)
def test_what_is_wrong_is_refused_by_the_operators_name_of_it(document, field):
    faults = faults_of(document)
    assert faults and {each.partition(": ")[0] for each in faults} == {field}


def test_a_sound_configuration_has_no_fault():
    assert faults_of(WHOLE) == [] and faults_of({"revision": 0, "routes": [], "services": []}) == []


def test_what_was_sent_reads_back_field_for_field():
    odd = {**ROUTE, "name": "r-3", "path_prefix": "/c/", "later_field": {"x": [1, None]}, "target_gap_ms": 0}
    sent = {**WHOLE, "routes": [odd, ROUTE, PLAIN]}
    assert document_of(whole_of(sent).unwrap()) == sent
    stored = json.loads(json.dumps(whole_of(sent).unwrap()))
    assert json.dumps(document_of(stored)) == json.dumps(document_of(whole_of(sent).unwrap()))
    assert document_of(stored)["routes"] == [odd, ROUTE, PLAIN] and document_of(stored)["limits"] == LIMITS


def test_limits_read_back_only_where_they_were_sent():
    bare = {"revision": 1, "routes": [], "services": []}
    assert document_of(whole_of(bare).unwrap()) == bare
    assert document_of(whole_of({**bare, "limits": {}}).unwrap()) == {**bare, "limits": {}}


def test_named_changes_put_items_in_and_take_them_out():
    new = {**PLAIN, "name": "r-3", "path_prefix": "/new/"}
    moved = {**ROUTE, "timeout_ms": 1}
    patch = {"revision": 9, "upsert": {"routes": [moved, new], "services": [{"name": "s-3"}]}}
    body = edited(WHOLE, {**patch, "remove": {"routes": ["r-2", "r-never"]}})
    assert document_of(body) == {
        "revision": 9,
        "routes": [moved, new],
        "services": [SERVICE, {"name": "s-2"}, {"name": "s-3"}],
        "limits": LIMITS,
    }
    configuration = read_configuration(body).unwrap()
    assert configuration.routes["r-1"].timeout_ms == 1 and configuration.settings.body_most_bytes == 4_194_304


def test_one_name_removed_and_put_in_again_stays():
    body = edited(WHOLE, {"revision": 9, "upsert": {"routes": [PLAIN]}, "remove": {"routes": ["r-2", "r-1"]}})
    assert document_of(body)["routes"] == [PLAIN]


def test_a_change_that_only_raises_the_revision():
    assert document_of(edited(WHOLE, {"revision": 8})) == {**WHOLE, "revision": 8}


@pytest.mark.parametrize(
    "patch, field",
    [
        (None, "configuration"),
        ({"upsert": {}}, "revision"),
        ({"revision": 9, "routes": []}, "routes"),
        ({"revision": 9, "upsert": [1]}, "upsert, remove"),
        ({"revision": 9, "remove": {"routes": "r-1"}}, "remove.routes"),
        ({"revision": 9, "remove": {"routes": [1]}}, "remove.routes"),
        ({"revision": 9, "remove": {"limits": ["x"]}}, "remove.limits"),
        ({"revision": 9, "upsert": {"limits": []}}, "upsert.limits"),
        ({"revision": 9, "upsert": {"routes": 5}}, "routes"),
        ({"revision": 9, "upsert": {"routes": 5}, "remove": {"routes": ["r-1"]}}, "routes"),
        ({"revision": 9, "upsert": {"routes": [{}]}}, "routes.0"),
        ({"revision": 9, "upsert": {"routes": [{"name": [1]}]}, "remove": {"routes": ["r-1"]}}, "routes.0"),
    ],
)
def test_a_change_that_cannot_be_read_whole_is_refused(patch, field):
    assert [each.partition(": ")[0] for each in edits_of(patch).failure()] == [field]


@pytest.mark.parametrize(
    "patch, field",
    [
        ({"upsert": {"routes": [{**PLAIN, "timeout_ms": 0}]}}, "routes.r-2.timeout_ms"),
        ({"upsert": {"routes": [{**PLAIN, "name": "r-3"}]}}, "routes.r-3.path_prefix"),
        ({"remove": {"services": ["s-2"]}}, "routes.r-1.target_service"),
        ({"limits": {"max_body_bytes": []}}, "limits.max_body_bytes"),
    ],
)
def test_a_change_after_which_the_whole_is_invalid_is_refused(patch, field):
    faults = read_configuration(edited(WHOLE, {"revision": 9, **patch})).failure()
    assert {named(each).partition(": ")[0] for each in faults} == {field}
