"""Reading an operator's JSON strictly: a name that stands twice in one object is a mistake, not a choice."""

import json
from typing import Any

from returns.result import Failure, Result, Success

__all__ = ["read_json"]


def read_json(text: str | bytes) -> Result[Any, str]:
    """The content, or why it cannot be read.

    >>> read_json('{"a": 1, "a": 2}').failure()
    'a: stands twice'
    """

    def once(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        content = dict(pairs)
        if len(content) < len(pairs):
            names = [name for name, _ in pairs]
            twice = next(name for name in names if names.count(name) > 1)
            raise ValueError(f"{twice}: stands twice")
        return content

    try:
        return Success(json.loads(text, object_pairs_hook=once))
    except (ValueError, RecursionError) as wrong:
        return Failure(str(wrong))
