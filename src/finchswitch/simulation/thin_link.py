"""A machine's link that carries only so many bytes a millisecond, each way; what comes while it is busy waits."""

from dataclasses import dataclass

__all__ = ["ThinLink"]


@dataclass
class ThinLink:
    """One machine's link. Times are milliseconds on the cluster's clock."""

    bytes_per_ms: float
    _out_free_ms: float = 0.0
    _in_free_ms: float = 0.0

    def pass_out(self, at_ms: float, size: int) -> float:
        """When so many bytes that the machine sends at a moment have left it."""
        self._out_free_ms = max(at_ms, self._out_free_ms) + size / self.bytes_per_ms
        return self._out_free_ms

    def pass_in(self, at_ms: float, size: int) -> float:
        """When so many bytes that reach the link at a moment have come in."""
        self._in_free_ms = max(at_ms, self._in_free_ms) + size / self.bytes_per_ms
        return self._in_free_ms
