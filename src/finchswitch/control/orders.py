"""The orders that a document remembers, so that one that was taken is acknowledged again and never refused.

An order is kept as 24 characters: a digest of its change id, a digest of its content, and the generation that it
made. Orders stand in blocks, oldest first; only the last block grows, and the first is dropped when there are too
many. What was dropped is summed up as a mark: every dropped order was built on less than its generation and its
revision. So an order that is not found was never taken, unless it was built on less than the mark: then nobody knows.
"""

import base64
import hashlib
from dataclasses import dataclass
from typing import Any

from finchswitch.constants import ORDER_BLOCKS_MOST, ORDERS_A_BLOCK, RECENT_MOST
from finchswitch.errors import ErrorKind, FleetError

__all__ = ["TakenOrder", "check_orders", "find_order", "forgotten_mark", "grow_orders", "remember", "shrink_orders"]

Document = dict[str, Any]
Orders = dict[str, Any]
Block = dict[str, Any]

_NOTHING: Orders = {"blocks": [], "forgotten": [0, 0]}
_ID_BYTES, _CONTENT_BYTES, _GENERATION_BYTES = 9, 6, 3
_ID_CHARACTERS = 12
_GENERATION_AT = 20
_WIDTH = 24
_GENERATIONS = 1 << (8 * _GENERATION_BYTES)


@dataclass(frozen=True)
class TakenOrder:
    """An order that was taken: the generation that it made, and whether it had this very content."""

    generation: int
    same: bool


def _text(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).decode()


def _digest(value: str, size: int) -> str:
    return _text(hashlib.sha256(value.encode(errors="surrogatepass")).digest()[:size])


def _entry(change_id: str, digest: str, generation: int) -> str:
    made = (generation % _GENERATIONS).to_bytes(_GENERATION_BYTES, "big")
    return _digest(change_id, _ID_BYTES) + _digest(digest, _CONTENT_BYTES) + _text(made)


def _held(document: Document) -> Orders:
    orders: Orders = document.get("orders", _NOTHING)
    return orders


def find_order(document: Document, change_id: str, digest: str) -> TakenOrder | None:
    """The order that was taken under a change id, if the document remembers one.

    >>> document = {"orders": remember({"recent": []}, "c1", "d", 7, 0)}
    >>> find_order(document, "c1", "d"), find_order(document, "c1", "other").same, find_order(document, "c2", "d")
    (TakenOrder(generation=7, same=True), False, None)
    """
    for known_id, known, generation in document.get("recent", ()):  # as processes one version older keep them
        if known_id == change_id:
            return TakenOrder(generation, known == digest)
    identity, content = _digest(change_id, _ID_BYTES), _digest(digest, _CONTENT_BYTES)
    for block in reversed(_held(document)["blocks"]):
        at = _aligned(block["orders"], identity)
        if at >= 0:
            entry = block["orders"][at : at + _WIDTH]
            return TakenOrder(_generation(block, entry), entry[_ID_CHARACTERS:_GENERATION_AT] == content)
    return None


def _aligned(orders: str, identity: str) -> int:
    """Where an order with this identity begins, or -1."""
    at = orders.find(identity)
    while at >= 0 and at % _WIDTH:
        at = orders.find(identity, at + 1)
    return at


def _generation(block: Block, entry: str) -> int:
    low = int.from_bytes(base64.urlsafe_b64decode(entry[_GENERATION_AT:]), "big")
    newest: int = block["generation"]
    return newest - (newest - low) % _GENERATIONS


def forgotten_mark(document: Document) -> tuple[int, int]:
    """The generation and the operator's revision below which an order may have been taken and forgotten.

    >>> forgotten_mark({"recent": []})
    (0, 0)
    """
    generation, revision = _held(document)["forgotten"]
    return generation, revision


def check_orders(document: Document) -> None:
    """Raise a FleetError BROKEN if what a document says of its orders is not of the agreed shape."""
    orders, recent = document.get("orders", _NOTHING), document.get("recent", [])
    good = isinstance(recent, list) and all(isinstance(each, list) and len(each) == 3 for each in recent)
    good = good and isinstance(orders, dict) and isinstance(orders.get("blocks"), list)
    good = good and _are_numbers(orders.get("forgotten")) and all(_is_block(each) for each in orders["blocks"])
    if not good:
        raise FleetError(ErrorKind.BROKEN, "read", "document", "its orders are not of the agreed shape")


def _are_numbers(value: Any) -> bool:
    return isinstance(value, list) and len(value) == 2 and all(type(each) is int for each in value)


def _is_block(value: Any) -> bool:
    if not isinstance(value, dict) or not isinstance(value.get("orders"), str):
        return False
    return len(value["orders"]) % _WIDTH == 0 and _are_numbers([value.get("generation"), value.get("revision")])


def remember(document: Document, change_id: str, digest: str, generation: int, revision: int) -> Orders:
    """The orders of a document with one more: its generation, and the operator's revision that it left behind."""
    orders = _converted(document, revision)
    return _added(orders, _entry(change_id, digest, generation), generation, revision)


def _converted(document: Document, revision: int) -> Orders:
    """The orders, with those in the form of processes one version older among them."""
    orders, recent = _held(document), document.get("recent", ())
    if len(recent) >= RECENT_MOST:  # older ones were dropped there without a mark
        mark = [max(orders["forgotten"][0], recent[0][2] - 1), max(orders["forgotten"][1], revision)]
        orders = {**orders, "forgotten": mark}
    for change_id, digest, generation in recent:
        orders = _added(orders, _entry(change_id, digest, generation), generation, revision)
    return orders


def _added(orders: Orders, entry: str, generation: int, revision: int) -> Orders:
    blocks, forgotten = list(orders["blocks"]), orders["forgotten"]
    text = ""
    if blocks and len(blocks[-1]["orders"]) < _WIDTH * ORDERS_A_BLOCK:
        text = blocks.pop()["orders"]
    blocks.append({"orders": text + entry, "generation": generation, "revision": revision})
    if len(blocks) > ORDER_BLOCKS_MOST:
        dropped = blocks.pop(0)
        forgotten = [dropped["generation"], dropped["revision"]]
    return {"blocks": blocks, "forgotten": forgotten}


def shrink_orders(base: Document, following: Document) -> Orders:
    """What leads from the orders of one document to those of the next: how many blocks go, stay, and which are new."""
    before, after = _held(base)["blocks"], _held(following)["blocks"]
    first = next((at for at, block in enumerate(before) if after and block["orders"] == after[0]["orders"]), 0)
    stay = 0
    for old, new in zip(before[first:], after, strict=False):
        if old != new:
            break
        stay += 1
    return {"first": first, "stay": stay, "new": after[stay:], "forgotten": _held(following)["forgotten"]}


def grow_orders(base: Document, delta: Orders) -> Orders:
    """The orders that a delta leads to."""
    first, stay = delta["first"], delta["stay"]
    kept = _held(base)["blocks"][first : first + stay]
    return {"blocks": [*kept, *delta["new"]], "forgotten": delta["forgotten"]}
