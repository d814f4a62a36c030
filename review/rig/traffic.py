"""A stand-in runner and a stand-in client, both over plain sockets, as the users' PROTOCOL page describes them."""

import asyncio
import json
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from fleet import FRONT, RUNNER, Record
from wire import read_head, read_whole


@dataclass
class Plan:
    """How a runner serves one request."""

    events: int = 11
    first_ms: float = 60.0
    gap_ms: float = 20.0
    pause_at: int = 0  # after so many events ...
    pause_ms: float = 0.0  # ... the request is put back and read anew, which takes this long


@dataclass
class Runner:
    """A model runner: streams with rising ids, its seal, its identity check, and 503 with X-Not-Executed when full."""

    record: Record
    name: str
    slots: int = 64
    plan_of: Callable[[dict[str, str]], Plan] = lambda _: Plan()
    full: bool = False
    runs: list[tuple[str, float]] = field(default_factory=list)
    active: int = 0
    _made: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def serve(self, host: str) -> None:
        self._server = await asyncio.start_server(self._connection, host, RUNNER)

    def crash(self) -> None:
        """End as a process does that is killed: nothing listens any more, and all connections are closed."""
        self.record(f"{self.name} crashes with {self.active} requests")
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, fields = head.split(b"\r\n", 1)[0].decode(), read_fields(head)
                await read_whole(reader, fields)
                await self._answer(first, fields, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, first: str, fields: dict[str, str], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        attempt = fields.get("x-attempt-id", "")
        if first.startswith("GET /health"):
            return await self._plain(writer, 200, {"X-Instance-Id": self.name})
        if first.startswith("GET /api/report"):
            return await self._plain(writer, 200, {}, json.dumps(self._report()).encode())
        if fields.get("x-target-instance", self.name) != self.name:
            return await self._plain(writer, 421, {"X-Attempt-Id": attempt, "X-Not-Executed": "1"})
        if self.full or self.active >= self.slots:
            self.record(f"{self.name} turns {attempt} away: 503, not executed")
            return await self._plain(writer, 503, {"X-Attempt-Id": attempt, "X-Not-Executed": "1", "Retry-After": "1"})
        self.active += 1
        watch = asyncio.create_task(reader.read(1))
        try:
            run = asyncio.create_task(self._stream(attempt, fields, writer))
            done, _ = await asyncio.wait({run, watch}, return_when=asyncio.FIRST_COMPLETED)
            if run not in done:
                self.record(f"{self.name} drops {attempt}: its connection closed")
                run.cancel()
                raise ConnectionResetError
            await run
        finally:
            self.active -= 1
            watch.cancel()
            await asyncio.wait({watch})

    async def _stream(self, attempt: str, fields: dict[str, str], writer: asyncio.StreamWriter) -> None:
        plan = self.plan_of(fields)
        after = int(fields.get("last-event-id", "0") or 0)
        self._made += 1
        self.record(f"{self.name} runs {attempt}, after event {after}")
        self.runs.append((attempt, time.monotonic()))
        await asyncio.sleep(plan.first_ms / 1000)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", f"X-Attempt-Id: {attempt}"]
        lines += [f"X-Server-Seal: {self.name}.{self._made}", "X-Weight-Versions: 1", "Transfer-Encoding: chunked"]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number in range(after + 1, plan.events + 1):
            event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            if number == plan.pause_at:
                self.record(f"{self.name} puts {attempt} back for {plan.pause_ms:.0f} ms after event {number}")
                await asyncio.sleep(plan.pause_ms / 1000)
                self.record(f"{self.name} goes on with {attempt}")
            await asyncio.sleep(plan.gap_ms / 1000)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record(f"{self.name} has ended {attempt}")

    async def _plain(self, writer: asyncio.StreamWriter, status: int, more: dict[str, str], body: bytes = b"") -> None:
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {each}" for name, each in more.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()

    def _report(self) -> dict[str, Any]:
        models = [{"name": "m", "revision": 1, "adapters": []}]
        state = {"phase": "combined", "models": models, "utilisation": False, "call_sequence": 0}
        return {**state, "queued": 0, "active": self.active, "kv_used": 0, "kv_total": 446417, "handles": 0}


def read_fields(head: bytes) -> dict[str, str]:
    _, rest = head.split(b"\r\n", 1)
    return read_head(b"HTTP/1.1 200\r\n" + rest)[1]


@dataclass
class Answer:
    """What one try of a client came to."""

    attempt: str
    sent_s: float
    status: int = 0  # 0: no head came
    events: list[int] = field(default_factory=list)
    whole: bool = False
    end: str = ""
    end_s: float = 0.0

    def line(self) -> str:
        what = "whole" if self.whole else self.end
        return f"client: {self.attempt} status {self.status}, events {self.events}, {what}"


class Client:
    """One client on a connection that it keeps while it may."""

    def __init__(self, record: Record, host: str) -> None:
        self.record, self._host = record, host
        self._pair: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(
        self, path: str, deadline_ms: int, patience_s: float, body: bytes = b"a question", **headers: str
    ) -> Answer:
        """One try; ``patience_s`` is the silence after which this client gives a stream up."""
        attempt = secrets.token_hex(8)
        if self._pair is None:
            self._pair = await asyncio.open_connection(self._host, FRONT)
        reader, writer = self._pair
        fields = {
            "Host": "desk.example",
            "X-Attempt-Id": attempt,
            "X-Model": "m",
            "X-Token-Usage": "383,44",
            "X-Prompt-Prefix": f"{secrets.token_hex(4)}:92,{secrets.token_hex(4)}:291",
            "X-Deadline-Remaining": str(deadline_ms),
            "Content-Length": str(len(body)),
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        answer = Answer(attempt, self.record.now())
        self.record(f"client: sends {attempt} to {self._host} {path}")
        lines = [f"POST {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                await writer.drain()
                await self._read(answer, reader, patience_s)
        except TimeoutError:
            answer.end = answer.end or "deadline"
        except (asyncio.IncompleteReadError, ConnectionError) as cut:
            answer.end = f"the connection ended: {type(cut).__name__}"
        answer.end_s = self.record.now()
        if not answer.whole:
            self.close()
        self.record(answer.line())
        return answer

    async def _read(self, answer: Answer, reader: asyncio.StreamReader, patience_s: float) -> None:
        text = b""
        try:
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), patience_s)
            answer.status, fields = read_head(head)
            if "chunked" not in fields.get("transfer-encoding", ""):
                await read_whole(reader, fields)
                answer.whole = True
            while not answer.whole:
                size = int((await asyncio.wait_for(reader.readuntil(b"\r\n"), patience_s)).strip(), 16)
                text += (await reader.readexactly(size + 2))[:-2]
                answer.events = [int(each[4:]) for each in text.split(b"\n") if each.startswith(b"id: ")]
                answer.whole = size == 0
        except TimeoutError:
            answer.end = "gave up after a silence"
            raise
        if fields.get("connection", "").lower() == "close":
            self.close()

    def close(self) -> None:
        if self._pair is not None:
            self._pair[1].close()
            self._pair = None
