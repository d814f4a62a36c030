"""Proof of a runner's identity, spoken on each new connection before any request is put on it.

``GET /identity`` must answer with the runner's id and incarnation as the platform lists them. An old address
with another process behind it fails here, and no request reaches it. Last before the request, the node's permit is
asked again: a node that slept since the seat was granted must not use it, nor one that holds a newer configuration
or plan by now under which this service may not use this runner. A request carries a ticket for it, on which the check
leaves the generation that it was made against.
"""

import json
from contextvars import ContextVar
from dataclasses import dataclass
from typing import Protocol

import anyio
import h11
from anyio.abc import ByteStream

from finchswitch.constants import PROOF_WAIT_MS
from finchswitch.errors import ErrorKind, FleetError

__all__ = ["TICKET", "Permit", "PermitOnly", "RunnerProof", "Ticket"]


@dataclass
class Ticket:
    """What is about to be sent, and what the last check said of it."""

    request_id: str
    repeatable: bool
    service: str
    digest: str
    runner: str
    incarnation: str = ""
    generation: int = -1  # checked against this one; under 0 no byte of the request has left
    refused: bool = False


# The ticket of the request for which this task connects. A connection is made in the task of its one request.
TICKET: ContextVar[Ticket | None] = ContextVar("ticket", default=None)


class Permit(Protocol):
    def permits(self, incarnation: str, ticket: Ticket | None) -> bool:
        """Whether a request may be put on a connection to this incarnation now; marks the ticket."""


class PermitOnly:
    """For runners that are named by each request itself and refuse one that is meant for another: only the permit."""

    def __init__(self, incarnation: str, permit: Permit) -> None:
        self._incarnation, self._permit = incarnation, permit

    async def __call__(self, stream: ByteStream, address: str) -> None:
        ticket = TICKET.get()
        if ticket is not None and not self._permit.permits(self._incarnation, ticket):
            raise FleetError(ErrorKind.REFUSED, "permit", address, "may not be sent to any more")


class RunnerProof:
    def __init__(self, runner: str, incarnation: str, permit: Permit) -> None:
        self._runner, self._incarnation, self._permit = runner, incarnation, permit

    async def __call__(self, stream: ByteStream, address: str) -> None:
        with anyio.fail_after(PROOF_WAIT_MS / 1000):
            answer = await self._ask(stream, address)
        if answer.get("runner") != self._runner or answer.get("incarnation") != self._incarnation:
            shown = f"{answer.get('runner')}/{answer.get('incarnation')}"
            raise FleetError(ErrorKind.REFUSED, "proof", address, f"{shown} is not {self._runner}/{self._incarnation}")
        if not self._permit.permits(self._incarnation, TICKET.get()):
            raise FleetError(ErrorKind.REFUSED, "permit", address, "may not be sent to any more")

    async def _ask(self, stream: ByteStream, address: str) -> dict[str, object]:
        connection = h11.Connection(h11.CLIENT)
        request = h11.Request(method="GET", target="/identity", headers=[("Host", address)])
        await stream.send((connection.send(request) or b"") + (connection.send(h11.EndOfMessage()) or b""))
        body, status = b"", 0
        try:
            while True:
                event = connection.next_event()
                if event is h11.NEED_DATA:
                    try:
                        connection.receive_data(await stream.receive())
                    except anyio.EndOfStream:
                        connection.receive_data(b"")
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                else:
                    break
            behind, _ = connection.trailing_data
            if behind:
                raise FleetError(ErrorKind.BROKEN, "proof", address, "bytes behind the answer, which belong to nobody")
            connection.start_next_cycle()
            answer = json.loads(body)
        except (h11.ProtocolError, ValueError, RecursionError) as wrong:
            raise FleetError(ErrorKind.BROKEN, "proof", address, repr(wrong)) from None
        if status != 200 or not isinstance(answer, dict):
            raise FleetError(ErrorKind.REFUSED, "proof", address, f"status {status}")
        return answer
