"""Canonical keys for parts of a state, and tables that give each distinct part a small number."""

from collections.abc import Hashable
from enum import Enum
from typing import Any, ClassVar, Generic, TypeVar

from finchswitch.state_machines import Chart

__all__ = ["SharedDocument", "Table", "clone", "canonical_key"]

Value = TypeVar("Value")


def canonical_key(value: Any) -> Hashable:
    """A hashable key that is equal for values that no code under test can tell apart.

    >>> canonical_key({"b": [1, {2}], "a": None}) == canonical_key({"a": None, "b": (1, {2})})
    True
    """
    if value is None or isinstance(value, (str, int, bytes, bool, float)):
        return value
    if isinstance(value, Enum):
        return value.name
    if isinstance(value, Chart):
        return value.name
    if isinstance(value, SharedDocument):
        return value.key
    if isinstance(value, dict):
        return ("dict", *sorted((str(name), canonical_key(each)) for name, each in value.items()))
    if isinstance(value, (set, frozenset)):
        return ("set", *sorted(map(repr, map(canonical_key, value))))
    if isinstance(value, (list, tuple)):
        return tuple(canonical_key(each) for each in value)
    return (type(value).__name__, canonical_key(vars(value)))


class SharedDocument(dict[str, Any]):
    """A document that copies of a state share, since no code changes a document in place."""

    _known: ClassVar[dict[Hashable, "SharedDocument"]] = {}
    key: Hashable

    @classmethod
    def of(cls, document: dict[str, Any]) -> "SharedDocument":
        if isinstance(document, SharedDocument):
            return document
        key = canonical_key(document)
        known = cls._known.get(key)
        if known is None:
            known = cls._known[key] = cls(document)
            known.key = key
        return known


def clone(value: Any) -> Any:
    """A copy of an object that shares what is never changed in place: messages, documents, tables, enums.

    >>> old = {"yes": {"a"}}
    >>> clone(old)["yes"].add("b")
    >>> old
    {'yes': {'a'}}
    """
    if isinstance(value, (Enum, Chart, SharedDocument)):
        return value
    if isinstance(value, set):
        return set(value)
    if isinstance(value, dict):
        return {name: clone(each) for name, each in value.items()} if _holds_parts(value) else dict(value)
    if not hasattr(value, "__dict__"):
        return value
    copied = object.__new__(type(value))
    copied.__dict__.update({name: clone(each) for name, each in vars(value).items()})
    return copied


def _holds_parts(value: dict[Any, Any]) -> bool:
    return any(isinstance(each, set) or hasattr(each, "__dict__") for each in value.values())


class Table(Generic[Value]):
    """Values by number: equal keys share one number, so that states are tuples of numbers."""

    def __init__(self) -> None:
        self._numbers: dict[Hashable, int] = {}
        self._values: list[Value] = []

    def number(self, value: Value) -> int:
        key = canonical_key(value)
        known = self._numbers.get(key)
        if known is None:
            known = self._numbers[key] = len(self._values)
            self._values.append(value)
        return known

    def __getitem__(self, number: int) -> Value:
        return self._values[number]

    def __len__(self) -> int:
        return len(self._values)
