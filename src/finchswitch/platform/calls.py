"""Requests and answers as the platform's clients and runners speak them.

The body, method, path and headers of a request go on as they came; each names the one instance that may run it. An
answer's status, headers and events come back as they are.
"""

import hashlib
import re
from collections.abc import AsyncGenerator
from typing import TYPE_CHECKING, Any, NamedTuple

import httpx
from returns.result import Failure, Result, Success
from starlette.requests import Request

from finchswitch.affinity import Opening
from finchswitch.configuration import Repeat
from finchswitch.configuration.routes import pick_target
from finchswitch.constants import SLOTS_MOST
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.platform.events import EventError, events_of
from finchswitch.router.dialect import AttemptError, Call, Fate, Head, Headers, Piece, Refusal, header_values
from finchswitch.router.known_runner import Known
from finchswitch.router.prompt import read_body
from finchswitch.router.proof import Ticket

if TYPE_CHECKING:
    from finchswitch.router.node import Node

__all__ = ["PlatformDialect", "RequestWords", "read_count", "read_parts", "read_report"]

_HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"content-length",
    b"expect",
}
_PROMISES = (408, 429, 503)  # said to a client they mean 'not run', which only a runner's own word may say
_COUNT = re.compile(r"([0-9]{1,18})(?:\.[0-9]*)?")
_REWORDED = {b"x-deadline-remaining", b"x-target-instance", b"x-urgency-level"}


class RequestWords(NamedTuple):
    """The words of a client's request that go on to the runner as they came."""

    method: str
    target: bytes
    headers: Headers


def read_parts(text: str) -> list[tuple[str, int]]:
    """The parts of a prompt, in order.

    >>> read_parts("5c1e07a2:800,91bd3f06:410"), read_parts("5c:x"), read_parts("")
    ([('5c1e07a2', 800), ('91bd3f06', 410)], [], [])
    """
    parts = []
    for each in text.split(",") if text else []:
        name, _, tokens = each.strip().partition(":")
        count = read_count(tokens)
        if count is None:
            return []
        parts.append((name, count))
    return parts


def _says_not_run(response: httpx.Response) -> bool:
    """Whether a runner refused the request; what bears the seal of a run or a success is no refusal."""
    if response.status_code < 400 or "x-server-seal" in response.headers:
        return False
    return "x-not-executed" in response.headers or response.status_code == 421


def read_count(text: str) -> int | None:
    """A whole number that is not negative, fractions cut off; None where the text is none or is too long for one.

    >>> read_count("80"), read_count("80.9"), read_count("x"), read_count("\u00b2"), read_count("9" * 5000)
    (80, 80, None, None, None)
    """
    found = _COUNT.fullmatch(text.strip())
    return int(found[1]) if found else None


def _opening(service: str, request_id: str, headers: Any) -> Opening:
    parts = read_parts(headers.get("x-prompt-prefix", ""))
    counts = [read_count(each) for each in headers.get("x-token-usage", "").split(",")]
    usage = [each for each in counts if each is not None]
    shared = parts[:-1]
    named = ",".join([headers.get("x-model", ""), *(name for name, _ in shared)]) if shared else request_id
    digest = hashlib.sha256(f"{service}\0{named}".encode()).hexdigest()[:16]
    shared_tokens = sum(tokens for _, tokens in shared)
    own_tokens = parts[-1][1] if parts else max(0, (usage or [0])[0])
    return Opening(service, digest, shared_tokens, own_tokens, usage[1] if len(usage) > 1 else 0)


class PlatformDialect:
    kept = True  # each request names its instance, so connections may be kept

    async def read(self, node: "Node", scope: Any, receive: Any) -> Result[Call, tuple[str, Refusal]]:
        request = Request(scope, receive)
        headers, raw_path = request.headers, scope["raw_path"]
        request_id, configuration = headers.get("x-attempt-id", ""), node.configuration()
        read = await read_body(request, configuration.settings.body_most_bytes)
        if isinstance(read, Failure):
            return Failure((request_id, read.failure()))
        if not request_id or len(headers.getlist("x-attempt-id")) > 1:
            return Failure(("", Refusal(400, "X-Attempt-Id: one is needed")))
        name = node.routes().find(headers.get("host", ""), raw_path.decode("latin-1"))
        if name is None or name not in configuration.routes:
            if node.generation() < 1:
                return Failure((request_id, Refusal(503, "no configuration yet", 500.0)))
            return Failure((request_id, Refusal(404, "no route")))
        route = configuration.routes[name]
        query = scope["query_string"]
        words = RequestWords(scope["method"], raw_path + (b"?" + query if query else b""), list(scope["headers"]))
        service = pick_target(route.targets, headers.get("x-prompt-prefix", "").rpartition(",")[0] or request_id)
        deadline_ms = read_count(headers.get("x-deadline-remaining", ""))
        call = Call(
            request_id=request_id,
            service=service,
            repeatable=route.repeat is Repeat.ALWAYS,
            opening=_opening(service, request_id, headers),
            body=read.unwrap(),
            due_ms=float(route.first_aim_ms),
            limit_ms=float(min(route.timeout_ms, deadline_ms if deadline_ms is not None else route.timeout_ms)),
            gap_ms=float(route.gap_aim_ms),
            resumable=route.repeat is Repeat.RESUME,
            most_runners=route.most_runners,
            rank=route.rank,
            route=name,
            words=words,
        )
        return Success(call)

    def request(self, call: Call, known: Known, left_ms: float, after: str | None) -> httpx.Request:
        words: RequestWords = call.words
        gone = _HOP | _REWORDED | ({b"last-event-id"} if after is not None else set())
        headers = [each for each in words.headers if each[0] not in gone]
        headers += [
            (b"x-deadline-remaining", str(max(1, int(left_ms))).encode()),
            (b"x-target-instance", known.incarnation.encode()),
            (b"x-urgency-level", str(min(9, 3 + 2 * (call.rank or 0))).encode()),
            (b"content-length", str(len(call.body)).encode()),
        ]
        if after is not None:
            headers.append((b"last-event-id", after.encode()))
        host, _, port = known.address.rpartition(":")
        url = httpx.URL(scheme="http", host=host, port=int(port))
        extensions = {"target": words.target}
        return httpx.Request(words.method, url, headers=headers, content=call.body, extensions=extensions)

    def check_head(self, response: httpx.Response, known: Known, call: Call) -> Head:
        headers = response.headers
        if header_values(response, b"x-attempt-id") != [call.request_id.encode("latin-1", "replace")]:
            raise AttemptError(Fate.UNKNOWN, "answer", known.runner, "not an answer to this request")
        if _says_not_run(response):
            raise AttemptError(Fate.NOT_RUN, "answer", known.runner, f"not run: status {response.status_code}")
        whole = response.status_code < 300 and "x-server-seal" in headers and "content-encoding" not in headers
        if response.status_code < 300 and not whole:
            raise AttemptError(Fate.UNKNOWN, "answer", known.runner, "a success without its seal")
        if "x-not-executed" in headers:
            raise AttemptError(Fate.UNKNOWN, "answer", known.runner, "an answer of a run that says it did not run")
        if not ("content-length" in headers or "transfer-encoding" in headers):
            raise AttemptError(Fate.UNKNOWN, "answer", known.runner, "its end could not be told from a cut")
        if response.status_code in _PROMISES or (response.status_code >= 500 and (call.repeatable or call.resumable)):
            raise AttemptError(Fate.UNKNOWN, "answer", known.runner, f"status {response.status_code}")
        kept = [(name, value) for name, value in headers.raw if name.lower() not in _HOP]
        return Head(headers.get("x-weight-versions", ""), response.status_code, kept, failed=not whole)

    async def pieces(
        self, response: httpx.Response, known: Known, call: Call, after: str | None
    ) -> AsyncGenerator[Piece, None]:
        assert isinstance(response.stream, httpx.AsyncByteStream)
        streamed = response.headers.get("content-type", "").startswith("text/event-stream")
        try:
            async for data, number in events_of(response.stream, streamed and response.status_code < 300, after):
                yield Piece(data, number)
        except EventError as error:
            raise AttemptError(Fate.UNKNOWN, "stream", known.runner, str(error)) from None

    def opened(self, call: Call, head: Head, ticket: Ticket, way: str) -> tuple[int, Headers]:
        return head.status, head.headers

    def ended(
        self, request_id: str, status: int, fate: Fate, reason: str, after_s: float
    ) -> tuple[int, Headers, bytes]:
        status = 502 if fate is Fate.UNKNOWN else status
        body = reason.encode()
        headers = [(b"content-type", b"text/plain"), (b"content-length", str(len(body)).encode())]
        if request_id:
            headers.append((b"x-attempt-id", request_id.encode("latin-1", "replace")))
        if status in (429, 503):
            headers.append((b"retry-after", f"{max(0.05, after_s):.2f}".encode()))
        return status, headers, body

    def broken(self, error: AttemptError) -> bytes | None:
        return None

    async def probe(self, known: Known) -> float:
        return read_report(await known.reader.get(f"http://{known.address}/api/report"), known.runner)


def read_report(response: httpx.Response, peer: str) -> float:
    """Requests running at a runner by its report; what answers a request is none, whoever it was meant for."""
    if response.status_code != 200 or "x-attempt-id" in response.headers:
        raise FleetError(ErrorKind.BROKEN, "vitals", peer, f"no report: status {response.status_code}")
    try:
        active = response.json()["active"]
    except (ValueError, TypeError, LookupError, RecursionError) as wrong:
        raise FleetError(ErrorKind.BROKEN, "vitals", peer, f"not a report: {type(wrong).__name__}") from None
    if not isinstance(active, int) or isinstance(active, bool) or not 0 <= active <= SLOTS_MOST:
        raise FleetError(ErrorKind.BROKEN, "vitals", peer, "active: not a number of requests")
    return float(active)
