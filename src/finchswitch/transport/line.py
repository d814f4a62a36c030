"""One connection between two processes of the fleet: whole messages out under a lock, whole messages in.

Each message carries the number of the format that its sender writes. One of a higher format than is read here is named
and not acted on; fields that are not known here are no matter.
"""

import anyio
from anyio.abc import ByteStream
from anyio.streams.buffered import BufferedByteReceiveStream

from finchswitch.errors import ErrorKind, FleetError
from finchswitch.transport.netstring import Message, pack, unpack_next

__all__ = ["CONNECTION_GONE", "Line"]

CONNECTION_GONE = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError)


class Line:
    """A connection with its send lock."""

    def __init__(self, stream: ByteStream, peer: str, formats: tuple[int, int]) -> None:
        self.stream, self.peer, self._formats = stream, peer, formats
        self.reader = BufferedByteReceiveStream(stream)
        self._lock = anyio.Lock()

    async def next(self) -> Message | None:
        """The next message, whatever its format."""
        return await unpack_next(self.reader, self.peer)

    def check(self, message: Message) -> None:
        """Raises a FleetError NEWER for a format that this process does not read; unknown fields are passed over."""
        spoken = message.get("format", 1)
        if not isinstance(spoken, int) or spoken > self._formats[1]:
            reason = f"speaks format {spoken!r}, and {self._formats[1]} is the newest that is read here"
            raise FleetError(ErrorKind.NEWER, "format", self.peer, reason)

    async def send(self, message: Message) -> None:
        frame = pack({"format": self._formats[0], **message})
        try:
            async with self._lock:
                await self.stream.send(frame)
        except CONNECTION_GONE:
            raise FleetError(ErrorKind.BROKEN, "send", self.peer, "connection gone") from None
