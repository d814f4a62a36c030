"""Named edits: replace or remove single entries of a configuration, all of them or none.

An edit is ``{"kind": "bindings", "name": "counter", "value": {...}}``; a null value removes the entry, which must be
there unless the edit says ``"gone": true``. The same form carries changes down the relay tree: ``edits_between`` says
what turns one body into another.
"""

import json
from typing import Any

from returns.result import Failure, Result, Success

__all__ = ["apply_edits", "edits_between", "keep_unchanged", "unchanged"]

Body = dict[str, Any]


def apply_edits(body: Body, edits: Any) -> Result[Body, list[str]]:
    """A new body with all edits, or what is wrong with them. Entries that are not edited are the very same objects.

    >>> apply_edits({"runners": {"a": {}}}, [{"kind": "runners", "name": "a", "value": None}]).unwrap()
    {'runners': {}}
    >>> apply_edits({}, [{"kind": "runners", "name": "a", "value": None}]).failure()
    ['edits.0: runners.a does not exist']
    """
    if not isinstance(edits, list) or not edits:
        return Failure(["edits: not a list with entries"])
    wrong: list[str] = []
    result, seen = {kind: dict(entries) for kind, entries in body.items()}, set()
    for at, edit in enumerate(edits):
        if not isinstance(edit, dict) or set(edit) - {"gone"} != {"kind", "name", "value"}:
            wrong.append(f"edits.{at}: needs kind, name and value, and nothing else")
            continue
        kind, name, value = edit["kind"], edit["name"], edit["value"]
        if not isinstance(kind, str) or not isinstance(name, str):
            wrong.append(f"edits.{at}: kind and name must be strings")
            continue
        if (kind, name) in seen:
            wrong.append(f"edits.{at}: {kind}.{name} is edited twice")
        seen.add((kind, name))
        entries = result.setdefault(kind, {})
        if value is not None:
            entries[name] = value
        elif name in entries:
            del entries[name]
        elif edit.get("gone") is not True:
            wrong.append(f"edits.{at}: {kind}.{name} does not exist")
    return Failure(wrong) if wrong else Success(result)


def unchanged(before: Any, after: Any) -> bool:
    """Whether two values are the same JSON. Python holds 1, 1.0 and true for equal; operators do not.

    >>> unchanged({"a": 1}, {"a": 1}), unchanged({"a": 1}, {"a": True}), unchanged([1], [1.0])
    (True, False, False)
    """
    return before is after or (before == after and json.dumps(before) == json.dumps(after))


def keep_unchanged(held: Body, whole: Body) -> Body:
    """The whole body, with each entry that is held unchanged as the very object that is held.

    >>> held = {"runners": {"r": {"slots": 1}}}
    >>> kept = keep_unchanged(held, {"runners": {"r": {"slots": 1}, "s": {}}, "wrong": 1})
    >>> kept, kept["runners"]["r"] is held["runners"]["r"]
    ({'runners': {'r': {'slots': 1}, 's': {}}, 'wrong': 1}, True)
    """
    return {kind: _kept_entries(held.get(kind), entries) for kind, entries in whole.items()}


def _kept_entries(held: Any, entries: Any) -> Any:
    if not isinstance(held, dict) or not isinstance(entries, dict):
        return entries
    return {
        name: held[name] if name in held and unchanged(held[name], value) else value for name, value in entries.items()
    }


def edits_between(old: Body, new: Body) -> list[Body]:
    """The edits that turn old into new.

    >>> edits_between({"a": {"x": 1, "y": 2}}, {"a": {"x": 3}})
    [{'kind': 'a', 'name': 'y', 'value': None}, {'kind': 'a', 'name': 'x', 'value': 3}]
    """
    edits = []
    for kind in sorted(set(old) | set(new)):
        before, after = old.get(kind, {}), new.get(kind, {})
        for name in [*(each for each in before if each not in after), *after]:
            if not unchanged(before.get(name), after.get(name)):
                edits.append({"kind": kind, "name": name, "value": after.get(name)})
    return edits
