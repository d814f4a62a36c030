"""A stream of events cut at their ends, so that only whole ones are passed on, each with its number.

Numbers rise within an answer, also where it was taken up at another runner: one that does not would put pieces of two
runs together. An event without a number is passed on, but nothing may be taken up behind it.
"""

import re
from collections.abc import AsyncGenerator, AsyncIterable

from finchswitch.constants import EVENT_MOST_BYTES, PIECE_DIGITS_MOST

__all__ = ["EventError", "event_number", "events_of"]

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n")


class EventError(ValueError):
    """A stream that is not one of events whose numbers rise."""


def event_number(text: str | bytes | None) -> int | None:
    """The number in an event's id, or None where it is no number.

    >>> event_number(b" 7 "), event_number("x"), event_number("\u00b2"), event_number(None)
    (7, None, None, None)
    """
    text = text.decode("latin-1") if isinstance(text, bytes) else text or ""
    text = text.strip(" ")
    if not (text.isascii() and text.isdigit()):
        return None
    if len(text) > PIECE_DIGITS_MOST:
        raise EventError(f"an id of {len(text)} digits")
    return int(text)


async def events_of(
    chunks: AsyncIterable[bytes], streamed: bool, after: str | None = None
) -> AsyncGenerator[tuple[bytes, str | None], None]:
    """Whole events as they come, with their ids; a body that is no stream comes as it is. Raises an EventError."""
    if after is not None and not streamed:
        raise EventError("a body that is no stream cannot take one up")
    rest, last = b"", event_number(after)
    async for chunk in chunks:
        if not streamed:
            yield chunk, None
            continue
        searched = max(0, len(rest) - 3)
        rest += chunk
        ends = [each.end() for each in _EVENT_END.finditer(rest, searched)]
        if not ends:
            if len(rest) > EVENT_MOST_BYTES:
                raise EventError(f"an event of more than {EVENT_MOST_BYTES} bytes")
            continue
        whole, rest = rest[: ends[-1]], rest[ends[-1] :]
        number = None
        for event in (whole[start:end] for start, end in zip([0, *ends], ends, strict=False)):
            number = _number_of(event)
            if number is not None and last is not None and number <= last:
                raise EventError(f"event {number} after {last}")
            last = last if number is None else number
        yield whole, None if number is None else str(number)
    if rest:
        yield rest, None


def _number_of(event: bytes) -> int | None:
    """The number of one event.

    >>> _number_of(b"id: 1\\ndata: a\\n\\n"), _number_of(b"data: a\\n\\n")
    (1, None)
    """
    ids = [line[3:] for line in event.splitlines() if line.startswith(b"id:")]
    return event_number(ids[-1]) if ids else None
