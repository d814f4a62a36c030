"""The operator's configuration documents, put into the product's configuration and back.

What is not known here is kept and read back: an item of a list by the list's name and its own, anything else whole.
Each entry keeps the item as it was sent, so that it reads back field for field. A wrong value goes through as it is and
is named by the product's own checks.
"""

from typing import Any

from returns.result import Failure, Result, Success

__all__ = ["document_of", "edits_of", "named", "whole_of"]

_ROUTE = {
    "host_name": "host",
    "path_prefix": "prefix",
    "timeout_ms": "timeoutMs",
    "target_latency_ms": "firstAimMs",
    "target_gap_ms": "gapAimMs",
    "priority_level": "rank",
    "max_attempts": "mostRunners",
}
_LIMITS = {
    "max_header_bytes": "headMostBytes",
    "max_body_bytes": "bodyMostBytes",
    "header_timeout_ms": "headWaitMs",
    "idle_timeout_ms": "idleWaitMs",
}
_SERVICE = {"health_path": "healthPath", "max_connections": "connectionsMost"}
_ENGINE = {"capacity_slots": "slots", "kv_capacity": "memoryTokens"}
_BACK = {
    "routes": {**{ours: theirs for theirs, ours in _ROUTE.items()}, "targets": "weighted_targets"},
    "services": {
        **{ours: theirs for theirs, ours in _SERVICE.items()},
        **{ours: f"engine.{theirs}" for theirs, ours in _ENGINE.items()},
    },
    "settings": {ours: theirs for theirs, ours in _LIMITS.items()},
}


def route_of(item: dict[str, Any]) -> dict[str, Any]:
    """A route in the product's terms.

    >>> sent = {"name": "r", "host_name": "h", "path_prefix": "/p/", "route_type": "safe", "timeout_ms": 9,
    ...         "weighted_targets": [{"target_service": "s", "weight": 90}, {"target_service": "s", "weight": 10}]}
    >>> read = route_of(sent)
    >>> read["targets"], read["repeat"], read["timeoutMs"]
    ({'s': 100}, 'always', 9)
    """
    route = {ours: item[theirs] for theirs, ours in _ROUTE.items() if theirs in item}
    targets = _targets(item)
    repeat = "always" if item.get("route_type") == "safe" else "never"
    repeat = "resume" if item.get("stream_resumption") is True else repeat
    return {**route, "targets": targets, "repeat": repeat, "origin": [item]}


def _targets(item: dict[str, Any]) -> Any:
    """Weights by service; what does not say them is left as it is, to be named by the checks."""
    weighted = item.get("weighted_targets")
    if weighted is None:
        return {str(item["target_service"]): 1} if "target_service" in item else {}
    if not isinstance(weighted, list) or not all(
        isinstance(each, dict) and "target_service" in each for each in weighted
    ):
        return weighted
    targets: dict[str, Any] = {str(item["target_service"]): 1} if "target_service" in item else {}
    for each in weighted:
        weight, name = each.get("weight", 1), str(each["target_service"])
        before = targets.get(name, 0)
        targets[name] = weight + before if type(weight) is int and type(before) is int else weight
    return targets


def service_of(item: dict[str, Any]) -> dict[str, Any]:
    """A service in the product's terms."""
    service: dict[str, Any] = {"listed": True, "origin": [item]}
    for theirs, ours in _SERVICE.items():
        if theirs in item:
            service[ours] = item[theirs]
    engine = item.get("engine")
    if isinstance(engine, dict):
        for theirs, ours in _ENGINE.items():
            if theirs in engine:
                service[ours] = engine[theirs]
    return service


_ALONE = ("revision", "limits")  # stand once, and are no lists of items
_READERS = {"routes": route_of, "services": service_of}


def _entries(kind: str, items: Any) -> dict[str, Any] | list[str]:
    """Items by name, or what is wrong with them before anything else can be."""
    if not isinstance(items, list):
        return [f"{kind}: not a list"]
    entries: dict[str, Any] = {}
    wrong = []
    for at, item in enumerate(items):
        if not isinstance(item, dict) or not isinstance(item.get("name"), str):
            wrong.append(f"{kind}.{at}: an object with a name is needed")
        elif item["name"] in entries:
            wrong.append(f"{kind}.{at}.name: {item['name']} stands twice")
        else:
            entries[item["name"]] = _READERS[kind](item)
    return wrong or entries


def _kept(kind: str, value: Any) -> dict[str, Any]:
    """Entries for what is not known here.

    >>> _kept("tenants", [{"name": "a", "share": 2}])
    {'tenants/a': {'origin': [{'name': 'a', 'share': 2}]}}
    >>> _kept("note", "x"), _kept("zones", [])
    ({'note': {'origin': ['x']}}, {'zones': {'origin': [[]]}})
    """
    listed = isinstance(value, list) and value and all(isinstance(each, dict) for each in value)
    names = [each.get("name") for each in value] if listed else []
    if not names or len(set(map(str, names))) < len(names) or not all(isinstance(each, str) for each in names):
        return {kind: {"origin": [value]}}
    return {f"{kind}/{each['name']}": {"origin": [each]} for each in value}


def _settings(document: dict[str, Any]) -> dict[str, Any] | list[str]:
    revision, limits = document.get("revision"), document.get("limits")
    wrong = [] if type(revision) is int and revision >= 0 else ["revision: a whole number is needed"]
    if limits is not None and not isinstance(limits, dict):
        wrong.append("limits: not an object")
    if wrong:
        return wrong
    settings: dict[str, Any] = {"revision": revision}
    if isinstance(limits, dict):
        settings.update({ours: limits[theirs] for theirs, ours in _LIMITS.items() if theirs in limits})
        settings["origin"] = [limits]
    return settings


def whole_of(document: Any) -> Result[dict[str, Any], list[str]]:
    """A whole configuration in the product's terms, or every fault that its shape has."""
    if not isinstance(document, dict):
        return Failure(["configuration: not an object"])
    wrong: list[str] = []
    body: dict[str, Any] = {}
    for name in document:
        if name not in ("revision", "limits", *_READERS):
            body.setdefault("kept", {}).update(_kept(name, document[name]))
    for kind in ("services", "routes"):
        read = _entries(kind, document.get(kind, []))
        wrong.extend(read) if isinstance(read, list) else body.update({kind: read})
    settings = _settings(document)
    wrong.extend(settings) if isinstance(settings, list) else body.update({"settings": settings})
    return Failure(wrong) if wrong else Success(body)


def edits_of(document: Any) -> Result[list[dict[str, Any]], list[str]]:
    """Named changes as the product's edits."""
    if not isinstance(document, dict):
        return Failure(["configuration: not an object"])
    wrong: list[str] = []
    edits: list[dict[str, Any]] = []
    for name in document:
        if name in _READERS:
            wrong.append(f"{name}: no such field of a change; it stands under upsert and remove")
        elif name not in ("revision", "upsert", "remove", "limits"):
            entries = _kept(name, document[name]).items()
            edits += [{"kind": "kept", "name": each, "value": value} for each, value in entries]
    upsert, remove = document.get("upsert") or {}, document.get("remove") or {}
    if not isinstance(upsert, dict) or not isinstance(remove, dict):
        return Failure(["upsert, remove: objects are needed"])
    for kind, names in remove.items():
        if kind in _ALONE or not isinstance(names, list) or not all(isinstance(each, str) for each in names):
            wrong.append(f"remove.{kind}: a list of names is needed")
            continue
        put = upsert.get(kind)
        kept = {str(each.get("name")) for each in put if isinstance(each, dict)} if isinstance(put, list) else set()
        before = "" if kind in _READERS else f"{kind}/"
        gone = {"kind": kind if kind in _READERS else "kept", "value": None, "gone": True}
        edits += [{**gone, "name": f"{before}{each}"} for each in names if each not in kept]
    for kind, items in upsert.items():
        read = _entries(kind, items) if kind in _READERS else _kept(kind, items)
        read = [f"upsert.{kind}: no list of items"] if kind in _ALONE else read
        where = kind if kind in _READERS else "kept"
        if isinstance(read, list):
            wrong.extend(read)
        else:
            edits += [{"kind": where, "name": name, "value": value} for name, value in read.items()]
    settings = _settings(document)
    if isinstance(settings, list):
        wrong.extend(settings)
    else:
        edits += [{"kind": "settings", "name": name, "value": value} for name, value in settings.items()]
    return Failure(wrong) if wrong else Success(edits)


def document_of(body: dict[str, Any]) -> dict[str, Any]:
    """A configuration as its operators sent it."""
    settings = body.get("settings", {})
    document: dict[str, Any] = {"revision": settings.get("revision", 0)}
    for kind in ("routes", "services"):
        document[kind] = [entry["origin"][0] for entry in body.get(kind, {}).values() if entry.get("origin")]
    if settings.get("origin"):
        document["limits"] = settings["origin"][0]
    for name, entry in body.get("kept", {}).items():
        kind, slash, _ = name.partition("/")
        if slash:
            document[kind] = [*document.get(kind, []), entry["origin"][0]]
        else:
            document.setdefault(kind, entry["origin"][0])
    return document


def named(fault: str) -> str:
    """A fault with the operator's name of its field.

    >>> named("routes.r.timeoutMs: 0 is not within 1 and 3600000")
    'routes.r.timeout_ms: 0 is not within 1 and 3600000'
    >>> named("settings.bodyMostBytes: null is not a whole number"), named("routes.r.targets: unknown service s")
    ('limits.max_body_bytes: null is not a whole number', 'routes.r.target_service: unknown service s')
    """
    where, colon, reason = fault.partition(": ")
    kind, _, rest = where.partition(".")
    if where == "settings.revision":
        return f"revision{colon}{reason}"
    back, kind = _BACK.get(kind, {}), "limits" if kind == "settings" else kind
    head, dot, last = rest.rpartition(".")
    if kind == "routes" and head.endswith(".targets"):
        head, dot, last = *head.rpartition(".")[:2], "targets"
    theirs = back.get(last, last)
    if last == "targets" and reason.startswith("unknown service"):
        theirs = "target_service"
    return f"{kind}.{head}{dot}{theirs}{colon}{reason}" if rest else fault
