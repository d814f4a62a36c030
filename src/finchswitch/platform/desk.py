"""The operators' calls on the platform: a whole configuration, named changes to it, and reading it back."""

import hashlib
from typing import Any

from returns.result import Failure
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from finchswitch.constants import CHANGE_MOST_BYTES
from finchswitch.control.changes import confirm_current, take_change
from finchswitch.control.control_node import ControlNode
from finchswitch.platform.configuration import document_of, edits_of, named, whole_of
from finchswitch.transport.strict import read_json

__all__ = ["desk_routes"]

_PATH = "/api/configuration"
_STATUS = {202: 200, 409: 412, 422: 400}


def desk_routes(control: ControlNode) -> list[Route]:
    async def change(request: Request) -> Response:
        body = b""
        async for part in request.stream():
            body += part
            if len(body) > CHANGE_MOST_BYTES:
                return JSONResponse({"reason": f"a change may have {CHANGE_MOST_BYTES} bytes"}, 413)
        match, read = request.headers.get("if-match", "").strip().strip('"'), read_json(body)
        if isinstance(read, Failure):
            return JSONResponse({"reason": f"not JSON: {read.failure()}"}, 400)
        if not match.isdigit():
            return JSONResponse({"reason": "If-Match: the version that this builds on is needed"}, 400)
        whole = request.method == "PUT"
        content = whole_of(read.unwrap()) if whole else edits_of(read.unwrap())
        if isinstance(content, Failure):
            return JSONResponse({"wrong": content.failure()}, 400)
        digest = hashlib.sha256(f"{request.method} {match} ".encode() + body).hexdigest()
        kind = "configuration" if whole else "edits"
        wanted = {"changeId": digest, "baseRevision": int(match), kind: content.unwrap()}
        return _answer(await take_change(control, wanted))

    async def show(request: Request) -> Response:
        answer = await confirm_current(control)
        if answer["status"] != 200:
            return _answer(answer)
        return JSONResponse(document_of(answer["configuration"]))

    return [Route(_PATH, change, methods=["PUT", "PATCH"]), Route(_PATH, show, methods=["GET"])]


def _answer(answer: dict[str, Any]) -> Response:
    status = _STATUS.get(answer["status"], answer["status"])
    rest = {name: value for name, value in answer.items() if name not in ("status", "wrong")}
    if "wrong" in answer:
        rest["wrong"] = [named(each) for each in answer["wrong"]]
    headers = {"retry-after": "0.2"} if status in (503, 504) else {}
    return JSONResponse(rest, status, headers=headers)
