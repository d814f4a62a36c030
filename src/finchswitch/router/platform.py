"""The platform's list of runners, read through an adapter.

The list comes in a published form, the Kubernetes EndpointSliceList of ``discovery.k8s.io/v1``: an endpoint's
``targetRef`` names the runner (name) and its incarnation (uid), ``conditions`` say whether it is terminating.
Another platform needs another ``read_list`` and nothing else.
"""

from dataclasses import dataclass
from typing import Any, Protocol

import httpx

from finchswitch.errors import ErrorKind, FleetError

__all__ = ["Listed", "Lister", "SliceLister", "read_list"]


@dataclass(frozen=True)
class Listed:
    """A runner as the platform lists it."""

    runner: str
    incarnation: str
    address: str
    leaving: bool
    service: str = ""  # what it serves, where the platform says so
    slots: int = 0  # requests that it works on at the same time, where the platform says so


class Lister(Protocol):
    async def read(self, wait_ms: float) -> list[Listed]:
        """Read the list once; raises a FleetError."""


def read_list(raw: Any, peer: str) -> list[Listed]:
    """Read an EndpointSliceList.

    >>> point = {"addresses": ["127.0.0.1"], "conditions": {"ready": True},
    ...          "targetRef": {"name": "r1", "uid": "u1"}}
    >>> read_list({"items": [{"ports": [{"port": 80}], "endpoints": [point]}]}, "platform")
    [Listed(runner='r1', incarnation='u1', address='127.0.0.1:80', leaving=False, service='', slots=0)]
    """
    listed = []
    try:
        for part in raw["items"]:
            port = int(part["ports"][0]["port"])
            for point in part["endpoints"]:
                conditions = point.get("conditions", {})
                leaving = conditions.get("terminating") is True
                if conditions.get("ready") is False and not leaving:
                    continue
                target = point["targetRef"]
                address = f"{point['addresses'][0]}:{port}"
                listed.append(Listed(str(target["name"]), str(target["uid"]), address, leaving))
    except (KeyError, IndexError, TypeError, ValueError, AttributeError) as wrong:
        raise FleetError(ErrorKind.BROKEN, "list", peer, f"not an EndpointSliceList: {wrong!r}") from None
    return listed


class SliceLister:
    """Reads the EndpointSlices of a platform."""

    def __init__(self, client: httpx.AsyncClient, address: str) -> None:
        self._client, self._address = client, address

    async def read(self, wait_ms: float) -> list[Listed]:
        url = f"http://{self._address}/apis/discovery.k8s.io/v1/endpointslices"
        try:
            response = await self._client.get(url, timeout=wait_ms / 1000)
            response.raise_for_status()
            return read_list(response.json(), self._address)
        except httpx.HTTPError as error:
            raise FleetError(ErrorKind.SILENT, "list", self._address, repr(error)) from None
        except ValueError as error:
            raise FleetError(ErrorKind.BROKEN, "list", self._address, str(error)) from None
