"""The users' platform is known to its adapter alone: nothing else imports it or uses its words."""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "src" / "finchswitch"
ADAPTER = PACKAGE / "platform"
WORDS = (
    *("x-target-instance", "x-attempt-id", "x-not-executed", "x-server-seal", "x-prompt-prefix", "x-token-usage"),
    *("x-deadline-remaining", "x-urgency-level", "x-instance-id", "x-weight-versions", "x-expect-version"),
    *("stream_resumption", "weighted_targets", "target_service", "host_name", "path_prefix", "route_type"),
    *("target_latency_ms", "target_gap_ms", "priority_level", "max_attempts", "session_affinity", "capacity_slots"),
    *("kv_capacity", "cloud_api", "seed_nodes", "timing_bounds", "internal_port_range", "listen_addresses"),
    *("first_start", "finchswitch_boot", "instance_id", "warmup_left_ms", "page_token", "/api/configuration"),
    *("/api/readiness", "/api/report"),
)


def outside():
    """Sources that may not know the platform: the package but its adapter, and the tests but the adapter's."""
    sources = [path for path in PACKAGE.rglob("*") if path.suffix in (".py", ".toml") and ADAPTER not in path.parents]
    tests = [path for path in (ROOT / "tests").rglob("*.py") if not path.name.startswith("test_platform_")]
    return [*sources, *tests]


def imported(path, text):
    """Names of the modules that a source imports, relative ones made absolute."""
    package = ["finchswitch", *path.relative_to(PACKAGE).parent.parts] if PACKAGE in path.parents else []
    names = set()
    for each in ast.walk(ast.parse(text)):
        if isinstance(each, ast.Import):
            names |= {alias.name for alias in each.names}
        elif isinstance(each, ast.ImportFrom):
            base = package[: len(package) - each.level + 1] if each.level else []
            module = ".".join([*base, *([each.module] if each.module else [])])
            names |= {module, *(f"{module}.{alias.name}" for alias in each.names)}
    return names


def words_in(text):
    return sorted(word for word in WORDS if word in text.lower())


def adapted(names):
    return sorted(name for name in names if f"{name}.".startswith("finchswitch.platform."))


def test_no_module_outside_the_adapter_imports_it():
    paths = [path for path in outside() if path.suffix == ".py"]
    assert len(paths) > 100
    found = {path.name: adapted(imported(path, path.read_text("utf-8"))) for path in paths}
    assert {name: names for name, names in found.items() if names} == {}


def test_the_platforms_words_stand_in_no_source_outside_the_adapter():
    found = {str(path.relative_to(ROOT)): words_in(path.read_text("utf-8")) for path in outside()}
    assert {name: words for name, words in found.items() if words} == {}


def test_every_word_on_the_list_is_one_that_the_adapter_uses():
    adapter = "\n".join(path.read_text("utf-8") for path in ADAPTER.glob("*.py"))
    assert "x-target-instance" in words_in(adapter) and "finchswitch_boot" in words_in(adapter)
    assert not {"x-target-instance", "seed_nodes"} - set(words_in(adapter))


@pytest.mark.parametrize(
    "line",
    [
        "import finchswitch.platform",
        "import finchswitch.platform.calls as c",
        "from finchswitch import platform",
        "from finchswitch.platform.desk import desk_routes",
        "from ..platform import calls",
    ],
)
def test_every_form_of_import_is_seen(line):
    assert adapted(imported(PACKAGE / "transit" / "node.py", line))


def test_the_products_own_module_of_that_name_is_no_breach():
    assert not adapted(imported(PACKAGE / "transit" / "node.py", "from finchswitch.router.platform import Listed"))
