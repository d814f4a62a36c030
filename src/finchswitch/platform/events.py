"""A stream of events cut at their ends, so that only whole ones are passed on, each with its number."""

from collections.abc import AsyncGenerator, AsyncIterable

__all__ = ["events_of"]


async def events_of(chunks: AsyncIterable[bytes], streamed: bool) -> AsyncGenerator[tuple[bytes, str | None], None]:
    """Whole events as they come, with their ids; a body that is no stream comes as it is."""
    rest = b""
    async for chunk in chunks:
        if not streamed:
            yield chunk, None
            continue
        rest += chunk
        end = max(rest.rfind(b"\n\n") + 2, rest.rfind(b"\r\n\r\n") + 4 if b"\r\n\r\n" in rest else 0)
        if end < 2:
            continue
        whole, rest = rest[:end], rest[end:]
        yield whole, _last_id(whole)
    if rest:
        yield rest, None


def _last_id(events: bytes) -> str | None:
    """The id of the last event that has one.

    >>> _last_id(b"id: 1\\ndata: a\\n\\nid: 2\\ndata: b\\n\\n"), _last_id(b"data: a\\n\\n")
    ('2', None)
    """
    for line in reversed(events.splitlines()):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None
