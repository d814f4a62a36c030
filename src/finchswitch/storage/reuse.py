"""JSON text of nested objects, with the text of inner values kept and used again while they are the very same objects.

What is written again and again differs little from one time to the next. Values at the kept depth are never changed
in place by their owners, only replaced, so an identical object has the same text as before.
"""

import json
from typing import Any

__all__ = ["ReusingEncoder"]

_Pair = tuple[str | None, Any, str]  # a name (none in a list), its value, and the text of both

_ENCODER = json.JSONEncoder(separators=(",", ":"))


class ReusingEncoder:
    """Encodes one object after another; keeps texts of the last one only.

    >>> encoder = ReusingEncoder(depth=2)
    >>> inner = {"x": [1, True]}
    >>> encoder.encode({"a": {"b": inner}, "c": []}), encoder.encode({"a": {"b": inner}})
    ('{"a":{"b":{"x":[1,true]}},"c":[]}', '{"a":{"b":{"x":[1,true]}}}')
    """

    def __init__(self, depth: int) -> None:
        self._depth = depth
        self._before: dict[int, _Pair] = {}
        self._kept: dict[int, _Pair] = {}

    def encode(self, value: Any) -> str:
        """The text that ``json.dumps`` gives without spaces."""
        self._before, self._kept = self._kept, {}
        text = self._object(value, self._depth)
        self._before = {}
        return text

    def _object(self, value: Any, depth: int) -> str:
        if depth == 1 and type(value) is list:
            return "[" + ",".join(self._items(value)) + "]"
        if depth == 0 or type(value) is not dict or not all(type(name) is str for name in value):
            return _ENCODER.encode(value)
        if depth == 1:
            return "{" + ",".join(self._pairs(value)) + "}"
        inner = (f"{_ENCODER.encode(name)}:{self._object(each, depth - 1)}" for name, each in value.items())
        return "{" + ",".join(inner) + "}"

    def _items(self, values: list[Any]) -> list[str]:
        texts = []
        for value in values:
            pair = self._before.get(id(value))
            if pair is None or pair[0] is not None:
                pair = (None, value, _ENCODER.encode(value))
            if type(value) is dict:
                self._kept[id(value)] = pair
            texts.append(pair[2])
        return texts

    def _pairs(self, entries: dict[str, Any]) -> list[str]:
        before, kept, texts = self._before, self._kept, []
        for name, value in entries.items():
            pair = before.get(id(value))  # the value is held here, so that no other can have its id
            if pair is None or pair[0] != name:
                pair = (name, value, f"{_ENCODER.encode(name)}:{_ENCODER.encode(value)}")
            if type(value) is dict:
                kept[id(value)] = pair
            texts.append(pair[2])
        return texts
