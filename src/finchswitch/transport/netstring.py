"""Netstrings of JSON: the one form in which the fleet's processes speak to each other.

A frame is ``<length>:<json object>,``. The length is bounded before anything is read, so a broken or hostile
peer costs one connection and no memory. In place of the object its deflated form may stand (zlib, RFC 1950), whose
first byte no JSON text begins with; what it inflates to is bounded as well.
"""

import json
import zlib
from typing import Any

from anyio import DelimiterNotFound, EndOfStream, IncompleteRead
from anyio.streams.buffered import BufferedByteReceiveStream

from finchswitch.constants import DEFLATE_FROM_BYTES, DEFLATE_LEVEL, FRAME_DIGITS_MOST, FRAME_MOST_BYTES
from finchswitch.errors import ErrorKind, FleetError

__all__ = ["Message", "pack", "unpack_next"]

Message = dict[str, Any]
_DEFLATED = b"\x78"  # the first byte of a zlib stream with the usual window


def pack(message: Message, deflated: bool = False) -> bytes:
    """Frame one message; a large one deflated, where the reader knows of that.

    >>> pack({"kind": "beat"})
    b'15:{"kind":"beat"},'
    """
    body = json.dumps(message, separators=(",", ":")).encode()
    if len(body) > FRAME_MOST_BYTES:
        raise FleetError(ErrorKind.LARGE, "pack", "self", f"{len(body)} bytes in one frame")
    if deflated and len(body) >= DEFLATE_FROM_BYTES:
        body = zlib.compress(body, DEFLATE_LEVEL)
    return str(len(body)).encode() + b":" + body + b","


def _inflated(body: bytes, peer: str) -> bytes:
    """What a frame holds, inflated where it is deflated; raises a FleetError BROKEN."""
    if not body.startswith(_DEFLATED):
        return body
    inflater = zlib.decompressobj()
    try:
        content = inflater.decompress(body, FRAME_MOST_BYTES)
    except zlib.error as error:
        raise FleetError(ErrorKind.BROKEN, "frame", peer, str(error)) from None
    if not inflater.eof or inflater.unused_data:
        raise FleetError(ErrorKind.BROKEN, "frame", peer, "deflated beyond its bound, or not whole")
    return content


async def unpack_next(stream: BufferedByteReceiveStream, peer: str) -> Message | None:
    """Read one message; None when the peer closed between two frames."""
    try:
        head = await stream.receive_until(b":", FRAME_DIGITS_MOST + 1)
    except DelimiterNotFound:
        raise FleetError(ErrorKind.BROKEN, "frame", peer, "no length") from None
    except (IncompleteRead, EndOfStream):
        if stream.buffer:
            raise FleetError(ErrorKind.BROKEN, "frame", peer, "cut in the length") from None
        return None
    if not head.isdigit() or int(head) > FRAME_MOST_BYTES:
        raise FleetError(ErrorKind.BROKEN, "frame", peer, f"length {head[:12]!r} not allowed")
    try:
        body = await stream.receive_exactly(int(head) + 1)
    except (IncompleteRead, EndOfStream):
        raise FleetError(ErrorKind.BROKEN, "frame", peer, "cut in the body") from None
    if body[-1:] != b",":
        raise FleetError(ErrorKind.BROKEN, "frame", peer, "no closing comma")
    try:
        message = json.loads(_inflated(body[:-1], peer))
    except (ValueError, RecursionError):
        raise FleetError(ErrorKind.BROKEN, "frame", peer, "not JSON") from None
    if not isinstance(message, dict):
        raise FleetError(ErrorKind.BROKEN, "frame", peer, "not an object")
    return message
