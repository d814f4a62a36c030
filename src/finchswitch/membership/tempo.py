"""A pause that can be cut short: the beat loops wait on it, and whatever changed kicks it."""

import anyio

from finchswitch.transport import World

__all__ = ["Tempo"]


class Tempo:
    """A pause between rounds; kicked rounds are at least so far apart, so that many kicks cost few rounds."""

    def __init__(self, world: World, least_ms: float = 0.0) -> None:
        self._world, self._least_ms = world, least_ms
        self._event = anyio.Event()

    def kick(self) -> None:
        self._event.set()

    async def pause(self, wait_ms: float) -> None:
        began_ms = self._world.now_ms()
        with anyio.move_on_after(wait_ms / 1000):
            await self._event.wait()
        await self._world.sleep(self._least_ms - (self._world.now_ms() - began_ms))
        if self._event.is_set():
            self._event = anyio.Event()
