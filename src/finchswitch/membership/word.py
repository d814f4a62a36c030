"""What routing nodes add to their beats, and the shape of a beat, checked whole before any of it is believed."""

from typing import Any, Protocol

from anyio.abc import TaskGroup

from finchswitch.errors import ErrorKind, FleetError
from finchswitch.transport import Message

__all__ = ["Word", "check_beat"]


class Word(Protocol):
    """What a node adds to its beats, and what it does with what others add to theirs.

    ``speak`` and ``hear`` are for peers. ``digest`` is for control where there are many nodes; ``hear_control`` follows
    each answer of control, whose content is in the member.
    """

    group: TaskGroup

    def speak(self) -> Message: ...

    def hear(self, beat: Message, since_ms: float) -> None: ...

    def digest(self) -> Message: ...

    def hear_control(self, since_ms: float) -> None: ...


_NUMBER = (int, float)
# The shape of each field: a type, a list of one shape, a tuple of shapes, or a dict from strings to one shape.
_SHAPE: dict[str, Any] = {
    "name": str,
    "address": str,
    "http": str,
    "district": str,
    "incarnation": str,
    "generations": {"": int},
    "burden": {"": (_NUMBER, [(_NUMBER, _NUMBER)])},
    "pace": {"": _NUMBER},
    "held": {"": (str, [str])},
    "leaving": [str],
    "listAgeMs": _NUMBER,
    "counts": {"": (_NUMBER, {"": _NUMBER})},
    "vitals": {"": (int, str, _NUMBER, _NUMBER)},
}
# What older processes do not say.
_OPTIONAL: dict[str, Any] = {
    "listMark": str,
    "list": [list],
    "dark": [str],
    "ranks": {"": [int]},
    "base": {"": (_NUMBER, _NUMBER)},
}


def check_beat(beat: Message, peer: str = "peer") -> None:
    """Raises a FleetError BROKEN naming the first field that is not as it should be.

    >>> check_beat({"name": 5})
    Traceback (most recent call last):
    finchswitch.errors.FleetError: shape at peer: broken: field name missing or of the wrong type
    """
    for name, shape in _SHAPE.items():
        if not _fits(beat.get(name), shape):
            raise FleetError(ErrorKind.BROKEN, "shape", peer, f"field {name} missing or of the wrong type")
    for name, shape in _OPTIONAL.items():
        if name in beat and not _fits(beat[name], shape):
            raise FleetError(ErrorKind.BROKEN, "shape", peer, f"field {name} of the wrong type")


def _fits(value: Any, shape: Any) -> bool:
    """Whether a value has a shape.

    >>> _fits({"r": [1, 2.5]}, {"": (_NUMBER, _NUMBER)}), _fits({"r": [1]}, {"": (_NUMBER, _NUMBER)})
    (True, False)
    """
    if shape is _NUMBER or isinstance(shape, type):
        return isinstance(value, shape) and not isinstance(value, bool)
    if isinstance(shape, dict):
        return isinstance(value, dict) and all(_fits(each, shape[""]) for each in value.values())
    if not isinstance(value, (list, tuple)):
        return False
    if isinstance(shape, list):
        return all(_fits(each, shape[0]) for each in value)
    return len(value) == len(shape) and all(_fits(each, part) for each, part in zip(value, shape, strict=True))
