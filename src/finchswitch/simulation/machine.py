"""One machine of the rehearsal: it may freeze or stall, and its clock counts the time that it did."""

from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from finchswitch.simulation.network import SimListener, SimStream

__all__ = ["Machine"]


class Machine:
    def __init__(self, name: str, boot_ms: float) -> None:
        self.name, self._boot_ms = name, boot_ms
        self._thawed = anyio.Event()
        self._thawed.set()
        self._stalled_until_ms = -1e18
        self.streams: set[SimStream] = set()
        self.listeners: dict[str, SimListener] = {}

    def now_ms(self) -> float:
        return max(anyio.current_time() * 1000, self._stalled_until_ms) + self._boot_ms

    def freeze(self) -> None:
        if self._thawed.is_set():
            self._thawed = anyio.Event()

    def thaw(self) -> None:
        self._thawed.set()

    def stall(self, wait_ms: float) -> None:
        """A call that did not return for so long: its caller sees the time gone, and nothing else ran."""
        self._stalled_until_ms = max(self._stalled_until_ms, anyio.current_time() * 1000) + wait_ms

    async def gate(self) -> None:
        while True:
            left_ms = self._stalled_until_ms - anyio.current_time() * 1000
            if left_ms > 0:
                await anyio.sleep(left_ms / 1000)
            elif self._thawed.is_set():
                return
            else:
                await self._thawed.wait()

    def cut_connections(self, silent: bool) -> None:
        """What a kill (peers see a reset) or a loss of power (peers see nothing) does to the connections."""
        for stream in sorted(self.streams, key=lambda each: each.number):
            stream.die(silent)
        for listener in self.listeners.values():
            listener.closed = True
        self.streams.clear()
        self.listeners.clear()
