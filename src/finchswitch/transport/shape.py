"""Reading what a peer sent: a wrong shape is the peer's error and costs its connection, never this process."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from returns.primitives.exceptions import UnwrapFailedError

from finchswitch.errors import ErrorKind, FleetError
from finchswitch.transport.netstring import Message

__all__ = ["field", "reading"]


def field(body: Message, name: str, kind: type | tuple[type, ...], peer: str = "peer") -> Any:
    """A field of a message, checked for its type.

    >>> field({"part": "creed"}, "part", str)
    'creed'
    """
    value = body.get(name)
    if not isinstance(value, kind):
        raise FleetError(ErrorKind.BROKEN, "shape", peer, f"field {name} missing or of the wrong type")
    return value


@contextmanager
def reading(step: str, peer: str) -> Iterator[None]:
    """What a peer sent is being read: a wrong shape anywhere in it is the peer's error, not an end of this process."""
    try:
        yield
    except (LookupError, TypeError, ValueError, AttributeError, UnwrapFailedError) as wrong:
        raise FleetError(ErrorKind.BROKEN, step, peer, f"not of the agreed shape: {wrong!r}") from None
