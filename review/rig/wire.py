"""HTTP over plain sockets, as far as the stand-ins need it."""

import asyncio

__all__ = ["call", "read_head", "read_whole"]


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    within_s: float = 2.0,
) -> tuple[int, dict[str, str], bytes]:
    """One plain HTTP call on a connection of its own; raises OSError or TimeoutError."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(within_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write("\r\n".join([*lines, "Connection: close", "", ""]).encode() + body)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            status, fields = read_head(head)
            return status, fields, await read_whole(reader, fields)
        except asyncio.IncompleteReadError as cut:
            raise ConnectionError(f"cut: {cut}") from None
        finally:
            writer.close()


def read_head(head: bytes) -> tuple[int, dict[str, str]]:
    first, *rest = head.decode("latin-1").split("\r\n")
    fields = {name.strip().lower(): value.strip() for name, _, value in (each.partition(":") for each in rest if each)}
    return int(first.split(" ")[1]), fields


async def read_whole(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    return await reader.readexactly(int(fields.get("content-length", "0")))
