"""A part's document, and the short form in which an owner sends the next one.

The ballot stands beside the document, not in it: the same document is accepted again under a later ballot
when an owner falls. ``shrink`` gives the difference from a base that the acceptor may hold; ``grow`` applies
it and refuses any other base. ``step`` counts every commit; ``generation`` counts those that changed the body,
so that a change of the group does not make an operator's base stale.
"""

import hashlib
import json
from typing import Any

from finchswitch.configuration import apply_edits, edits_between
from finchswitch.constants import CONFIGURATION_PART, PARTS
from finchswitch.control.orders import check_orders, grow_orders, remember, shrink_orders
from finchswitch.errors import ErrorKind, FleetError

__all__ = [
    "Ballot",
    "Document",
    "builds_on",
    "digest_of",
    "founding_document",
    "grow",
    "part_names",
    "part_of",
    "read_document",
    "shrink",
    "succeed",
]

Ballot = tuple[int, str]
Document = dict[str, Any]

_NO_STEP = -1


_FIELDS = {"fleet": str, "part": str, "step": int, "generation": int, "group": list, "former": list, "body": dict}


def read_document(value: Any) -> Document:
    """A document as it comes off the wire or the disk, or a FleetError BROKEN.

    >>> read_document(founding_document("f", "creed", ["a"]))["step"]
    0
    """
    good = isinstance(value, dict) and all(type(value.get(name)) is kind for name, kind in _FIELDS.items())
    if not good:
        raise FleetError(ErrorKind.BROKEN, "read", "document", "a field is missing or of the wrong type")
    stores = [*value["group"], *value["former"]]
    entries = value["body"].values()
    if not all(isinstance(store, str) for store in stores) or not all(isinstance(each, dict) for each in entries):
        raise FleetError(ErrorKind.BROKEN, "read", "document", "a group or a body is not of the agreed shape")
    check_orders(value)
    document: Document = value
    return document


def part_names() -> list[str]:
    return [CONFIGURATION_PART, *(f"part-{at}" for at in range(PARTS))]


def part_of(service: str) -> str:
    """The part that a service's ledgers and fences live in, by hash of its name.

    >>> part_of("rulings") == part_of("rulings")
    True
    """
    digest = hashlib.sha256(service.encode()).digest()
    return f"part-{int.from_bytes(digest[:4], 'big') % PARTS}"


def founding_document(fleet: str, part: str, group: list[str]) -> Document:
    return {
        "fleet": fleet,
        "part": part,
        "step": 0,
        "generation": 0,
        "group": sorted(group),
        "former": sorted(group),
        "body": {},
        "recent": [],
    }


def succeed(document: Document, body: Document, change: list[Any] | None, group: list[str]) -> Document:
    """The next step of a document; a change is its id, the digest of its content and the generation it makes."""
    changed = change is not None or body != document["body"]
    following = {
        **document,
        "step": document["step"] + 1,
        "generation": document["generation"] + (1 if changed else 0),
        "body": body,
        "group": sorted(group),
        "former": document["group"],
    }
    if change is not None:
        revision = body.get("settings", {}).get("revision", 0)
        change_id, digest, made = change
        following["orders"] = remember(document, change_id, digest, made, revision)
        following["recent"] = []
    return following


def shrink(base: Document, following: Document) -> Document:
    """What leads from one document to the next: edits, or the whole body where edits would lose its order.

    The base stands under ``since``; ``base`` is a step that no document has, so that a process one version older,
    which would lose the orders, asks for the whole document.
    """
    rest = {name: value for name, value in following.items() if name not in ("body", "orders")}
    delta = {"base": _NO_STEP, "since": base["step"], "rest": rest}
    if "orders" in following:
        delta["orders"] = shrink_orders(base, following)
    edits = edits_between(base["body"], following["body"])
    grown = apply_edits(base["body"], edits).unwrap() if edits else base["body"]
    if not _same_order(grown, following["body"]):
        return {**delta, "body": following["body"]}
    return {**delta, "edits": edits}


def _same_order(grown: Document, body: Document) -> bool:
    return list(grown) == list(body) and all(list(grown[kind]) == list(entries) for kind, entries in body.items())


def builds_on(delta: Document, base: Document) -> bool:
    """Whether a delta builds on this document."""
    return bool(delta.get("since", delta["base"]) == base["step"])


def grow(base: Document, delta: Document) -> Document:
    """The document that a delta leads to.

    >>> old = founding_document("f", "creed", ["a", "b", "c"])
    >>> new = succeed(old, {"runners": {"r": {}}}, ["c1", "d", 1], ["a", "b", "c"])
    >>> grow(old, shrink(old, new)) == new
    True
    """
    if not builds_on(delta, base):
        raise FleetError(ErrorKind.STALE, "grow", base["part"], f"base {delta['base']} is not held")
    following = {**delta["rest"], "body": _grown_body(base, delta)}
    if "orders" in delta:
        following["orders"] = grow_orders(base, delta["orders"])
    return read_document(following)


def _grown_body(base: Document, delta: Document) -> Document:
    if "body" in delta:
        body: Document = delta["body"]
        return body
    return apply_edits(base["body"], delta["edits"]).unwrap() if delta["edits"] else base["body"]


def digest_of(content: Any) -> str:
    text = json.dumps(content, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()[:16]
