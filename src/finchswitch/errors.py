"""An error: what went wrong, at which step, and with which peer.

Every error that crosses a function's border in finchswitch is a ``FleetError``. It carries the step at which it
arose and the peer that was involved, so that a log line or an operator's answer can name both.
"""

from collections.abc import Iterator
from enum import Enum

__all__ = ["causes_of", "FleetError", "ErrorKind"]


class ErrorKind(Enum):
    SILENT = "silent"  # no answer in time
    REFUSED = "refused"  # the peer said no
    BROKEN = "broken"  # bytes or shape not as agreed
    STALE = "stale"  # built on something older than what stands
    INVALID = "invalid"  # the content is wrong
    LARGE = "large"  # over a bound
    FULL = "full"  # a disk or a queue has no room
    NEWER = "newer"  # of a format that this version does not read
    LOST = "lost"  # a fate that nobody here knows


class FleetError(Exception):
    """An error with its step and its peer.

    >>> str(FleetError(ErrorKind.SILENT, "accept", "10.0.0.1:7001", "no answer in 500 ms"))
    'accept at 10.0.0.1:7001: silent: no answer in 500 ms'
    """

    def __init__(self, kind: ErrorKind, step: str, peer: str, reason: str) -> None:
        super().__init__(kind, step, peer, reason)
        self.kind, self.step, self.peer, self.reason = kind, step, peer, reason

    def __str__(self) -> str:
        return f"{self.step} at {self.peer}: {self.kind.value}: {self.reason}"

    @classmethod
    def silent(cls, step: str, peer: str, reason: str) -> "FleetError":
        return cls(ErrorKind.SILENT, step, peer, reason)

    @classmethod
    def refused(cls, step: str, peer: str, reason: str) -> "FleetError":
        return cls(ErrorKind.REFUSED, step, peer, reason)


def causes_of(ended: BaseException) -> Iterator[BaseException]:
    """What lies at the ground of an ending, each cause by itself."""
    if isinstance(ended, BaseExceptionGroup):
        for each in ended.exceptions:
            yield from causes_of(each)
    else:
        yield ended
