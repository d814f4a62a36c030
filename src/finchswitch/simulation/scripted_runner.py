"""A runner whose answers a test writes byte by byte, and one attempt at it over the code that routing nodes run.

An HTTP library would refuse to send most of what is of interest here: an answer without its id, a second answer behind
the first, bytes that are no HTTP, half an answer before a reset.
"""

from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from dataclasses import dataclass, field
from typing import Any

import anyio
import h11
from anyio.abc import TaskGroup

from finchswitch.affinity import Opening
from finchswitch.router.attempt import answer_of
from finchswitch.router.dialect import AttemptError, Call, Dialect, Fate, Head
from finchswitch.router.known_runner import Known
from finchswitch.router.platform import Listed
from finchswitch.router.proof import Ticket
from finchswitch.simulation.machine import Machine
from finchswitch.simulation.network import Net, SimStream
from finchswitch.simulation.world import SimWorld

__all__ = ["AttemptResult", "Close", "Pause", "Received", "Reset", "ScriptedRunner", "Step", "make_call", "requests_of"]

_ADDRESS = "10.0.2.1:8000"
_PATIENCE_MS = 5_000.0


@dataclass(frozen=True)
class Pause:
    """Send nothing for so long."""

    ms: float


@dataclass(frozen=True)
class Close:
    """End the connection in order."""


@dataclass(frozen=True)
class Reset:
    """Reset the connection."""


Step = bytes | Pause | Close | Reset


@dataclass(frozen=True)
class Received:
    """A request as it reached the runner."""

    connection: int
    target: str
    headers: dict[str, str]
    body: bytes


Script = Callable[[Received], list[Step]]


@dataclass
class AttemptResult:
    """What one attempt gave: the pieces that came, and the error that ended it, if one did."""

    head: Head | None = None
    data: bytes = b""
    error: AttemptError | None = None

    @property
    def fate(self) -> Fate:
        return Fate.COMPLETE if self.error is None else self.error.fate


@dataclass
class _RoutingNode:
    """What an attempt needs of the node that makes it."""

    world: SimWorld
    sendable: bool = True

    def permits(self, incarnation: str, ticket: Ticket | None) -> bool:
        if ticket is not None and self.sendable:
            ticket.generation = 1
        return self.sendable


@dataclass
class ScriptedRunner:
    """A runner that acts out a script, and a routing node that knows it."""

    net: Net
    group: TaskGroup
    dialect: Dialect
    script: Script
    received: list[Received] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.machine: Machine = self.net.machine("10.0.2.1")
        self.world = SimWorld(self.net, self.machine, 1)
        self.node = _RoutingNode(SimWorld(self.net, self.net.machine("10.0.1.1"), 2))
        listed = Listed("r-1", "i-1", _ADDRESS, leaving=False, service="s")
        self.known = Known(listed, self.node.world, self.node, self.dialect.kept)

    async def listen(self) -> None:
        listener = await self.world.listen(_ADDRESS)

        async def accept() -> None:
            while True:
                stream, _ = await listener.accept()
                self.group.start_soon(self._serve, stream)

        self.group.start_soon(accept)

    async def _serve(self, stream: SimStream) -> None:
        try:
            async for received in requests_of(stream):
                self.received.append(received)
                for step in self.script(received):
                    await _act(stream, step)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream):
            pass

    async def attempt(self, call: Call, after: str | None = None, patience_ms: float = _PATIENCE_MS) -> AttemptResult:
        """One attempt to its end, or until nobody waits for it any more."""
        result = AttemptResult()
        ticket = Ticket(call.request_id, call.repeatable, call.service, call.opening.digest, self.known.runner)
        node: Any = self.node
        answer = answer_of(node, self.dialect, self.known, call, ticket, _PATIENCE_MS, _PATIENCE_MS, after)
        with anyio.move_on_after(patience_ms / 1000):
            try:
                async with aclosing(answer) as pieces:
                    async for head, piece in pieces:
                        result.head = head
                        result.data += piece.data if piece is not None else b""
            except AttemptError as error:
                result.error = error
            return result
        result.error = AttemptError(Fate.UNKNOWN, "limit", self.known.runner, "nobody waits for it")
        return result


def make_call(request_id: str, words: Any = None, body: bytes = b"{}") -> Call:
    """A request that may not be repeated."""
    return Call(request_id, "s", False, Opening("s", "o", 0, 0), body, limit_ms=_PATIENCE_MS, words=words)


async def requests_of(stream: SimStream) -> AsyncGenerator[Received, None]:
    """Whole requests as they come; a script's bytes go past this parser, so it begins anew for each request."""
    while True:
        connection = h11.Connection(h11.SERVER)
        head, body = None, b""
        while (event := connection.next_event()) is not h11.PAUSED:
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive())
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return
        assert head is not None
        headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
        yield Received(stream.number, head.target.decode("latin-1"), headers, body)


async def _act(stream: SimStream, step: Step) -> None:
    if isinstance(step, Pause):
        await anyio.sleep(step.ms / 1000)
    elif isinstance(step, Close):
        await stream.aclose()
    elif isinstance(step, Reset):
        stream.die(silent=False)
    else:
        await stream.send(step)
