"""The platform's list, and runners that answer at once or in events; what they ran is noted as it happens."""

import json
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from fleet import CLOUD, RUNNER, Fleet, now


@dataclass
class Ran:
    """One execution: which request, at which service, and when."""

    attempt: str
    service: str
    target: str
    body: bytes
    at: float


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def handle_error(self, request: Any, client_address: Any) -> None:
        """A caller that went away is no error of a stand-in."""


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format: str, *args: Any) -> None:
        """Nothing is logged beside the record."""

    def tell(self, status: int, body: bytes, **headers: str) -> None:
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def serve(handler: type[Handler], host: str, port: int) -> _Server:
    server = _Server((host, port), handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class Runner:
    """A runner of one service: one event each ``event_s``, ``events`` of them."""

    def __init__(self, world: "Platform", service: str, instance: str, host: str) -> None:
        self.world, self.service, self.instance, self.address = world, service, instance, f"{host}:{RUNNER}"
        runner = self

        class Answers(Handler):
            def do_GET(self) -> None:
                if self.path == "/api/report":
                    report = {"phase": "combined", "models": [], "utilisation": False, "call_sequence": 0}
                    told = {**report, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 443888, "handles": 0}
                    return self.tell(200, json.dumps(told).encode(), Content_Type="application/json")
                if self.path == "/health":
                    return self.tell(200, b"", X_Instance_Id=runner.instance)
                return self.do_POST()

            def do_POST(self) -> None:
                body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
                attempt = self.headers.get("X-Attempt-Id", "")
                if not attempt:
                    return self.tell(400, b"", X_Not_Executed="1")
                if self.headers.get("X-Target-Instance", runner.instance) != runner.instance:
                    return self.tell(421, b"", X_Not_Executed="1", X_Attempt_Id=attempt)
                runner.world.run(Ran(attempt, runner.service, self.path, body, now()))
                self.send_response(200)
                self.send_header("Content-Type", "text/event-stream")
                self.send_header("X-Attempt-Id", attempt)
                self.send_header("X-Server-Seal", f"{runner.instance}.{attempt}")
                self.send_header("Transfer-Encoding", "chunked")
                self.end_headers()
                for piece in runner.events(attempt):
                    self.wfile.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
                self.wfile.write(b"0\r\n\r\n")
                return None

        self.server = serve(Answers, host, RUNNER)

    def events(self, attempt: str) -> Iterator[bytes]:
        for number in range(1, self.world.events + 1):
            time.sleep(self.world.event_s)
            yield f"id: {number}\ndata: {attempt} {number} {self.instance}\n\n".encode()


class Platform:
    """The list of runners, and all that they ran."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.runners, self.ran = fleet, list[Runner](), list[Ran]()
        self.events, self.event_s = 8, 0.02
        self._lock = threading.Lock()
        platform = self

        class Lists(Handler):
            def do_GET(self) -> None:
                if not self.path.startswith("/instances"):
                    return self.tell(404, b"")
                told = {"instances": [platform.row(each) for each in platform.runners], "next_token": None}
                return self.tell(200, json.dumps(told).encode(), Content_Type="application/json")

        serve(Lists, fleet.host(0, 4), CLOUD)

    def row(self, runner: Runner) -> dict[str, Any]:
        names = {"instance_id": runner.instance, "target_service": runner.service, "address": runner.address}
        state = {"zone": "zone-a", "revision": "v1", "capacity_slots": 64, "state": "ready", "warmup_left_ms": 0}
        return {**names, **state, "phase": "combined", "models": [{"name": "m", "revision": 1, "adapters": []}]}

    def add(self, service: str) -> Runner:
        at = len(self.runners) + 1
        self.runners.append(Runner(self, service, f"i-{service}-{at}", self.fleet.host(2, at)))
        return self.runners[-1]

    def run(self, ran: Ran) -> None:
        with self._lock:
            self.ran.append(ran)
        self.fleet.note(f"run {ran.attempt} by {ran.service}: {ran.target}, {len(ran.body)} bytes")
