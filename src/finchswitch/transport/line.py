"""One connection between two processes of the fleet: whole messages out under a lock, whole messages in.

Each message carries the number of the format that its sender writes. One of a higher format than is read here is named
and not acted on; fields that are not known here are no matter. Each also says that its sender reads deflated frames;
large ones are deflated for a peer that said so.
"""

import anyio
from anyio.abc import ByteReceiveStream, ByteStream
from anyio.streams.buffered import BufferedByteReceiveStream

from finchswitch.errors import ErrorKind, FleetError
from finchswitch.transport.netstring import Message, pack, unpack_next

__all__ = ["CONNECTION_GONE", "Line"]

CONNECTION_GONE = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError)


class _Meter(ByteReceiveStream):
    """Counts the bytes that are read of a stream."""

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self.bytes_read = 0

    async def receive(self, max_bytes: int = 65536) -> bytes:
        data = await self._stream.receive(max_bytes)
        self.bytes_read += len(data)
        return data

    async def aclose(self) -> None:
        await self._stream.aclose()


class Line:
    """A connection with its send lock."""

    def __init__(self, stream: ByteStream, peer: str, formats: tuple[int, int]) -> None:
        self.stream, self.peer, self._formats = stream, peer, formats
        self._meter = _Meter(stream)
        self.reader = BufferedByteReceiveStream(self._meter)
        self._lock = anyio.Lock()
        self._peer_inflates = False
        self._bytes_whole = 0  # read up to the end of the last whole message

    @property
    def bytes_read(self) -> int:
        return self._meter.bytes_read

    def receives(self) -> bool:
        """Whether a part of a message has come, and not yet the whole."""
        return self.bytes_read > self._bytes_whole

    async def next(self) -> Message | None:
        """The next message, whatever its format."""
        message = await unpack_next(self.reader, self.peer)
        self._bytes_whole = self.bytes_read - len(self.reader.buffer)
        return message

    def check(self, message: Message) -> None:
        """Raises a FleetError NEWER for a format that this process does not read; unknown fields are passed over."""
        self._peer_inflates = message.get("inflates") is True
        spoken = message.get("format", 1)
        if not isinstance(spoken, int) or spoken > self._formats[1]:
            reason = f"speaks format {spoken!r}, and {self._formats[1]} is the newest that is read here"
            raise FleetError(ErrorKind.NEWER, "format", self.peer, reason)

    async def send(self, message: Message) -> None:
        frame = pack({"format": self._formats[0], "inflates": True, **message}, self._peer_inflates)
        try:
            async with self._lock:
                await self.stream.send(frame)
        except CONNECTION_GONE:
            raise FleetError(ErrorKind.BROKEN, "send", self.peer, "connection gone") from None
