"""The lifespan part of ASGI, for an app on whose start and stop nothing hangs."""

from typing import Any

__all__ = ["answer_lifespan"]


async def answer_lifespan(receive: Any, send: Any) -> None:
    """Acknowledge the server's word that it starts and stops."""
    while (message := await receive())["type"] != "lifespan.shutdown":
        await send({"type": f"{message['type']}.complete"})
    await send({"type": "lifespan.shutdown.complete"})
