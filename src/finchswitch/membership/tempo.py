"""A pause that can be cut short: the beat loops wait on it, and whatever changed kicks it."""

import anyio

from finchswitch.transport import World

__all__ = ["Tempo"]


class Tempo:
    def __init__(self, world: World) -> None:
        self._world = world
        self._event = anyio.Event()

    def kick(self) -> None:
        self._event.set()

    async def pause(self, wait_ms: float) -> None:
        with anyio.move_on_after(wait_ms / 1000):
            await self._event.wait()
        if self._event.is_set():
            self._event = anyio.Event()
        await self._world.sleep(0)
