"""The platform's list of runners: pages of instances, each with its identity, its service and its state."""

import re
from typing import Any

import httpx

from finchswitch.constants import PAGES_MOST
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.router.platform import Listed

__all__ = ["InstanceLister", "read_page"]

_PORT = re.compile("[0-9]{1,5}")


def read_page(raw: Any, peer: str) -> tuple[list[Listed], str | None]:
    """One page, and the token of the next.

    >>> row = {"instance_id": "i-1", "target_service": "s", "address": "10.0.0.1:80", "state": "draining"}
    >>> read_page({"instances": [row], "next_token": None}, "p")[0]
    [Listed(runner='i-1', incarnation='i-1', address='10.0.0.1:80', leaving=True, service='s', slots=0)]
    """
    try:
        rows = [
            Listed(
                runner=str(row["instance_id"]),
                incarnation=str(row["instance_id"]),
                address=_checked_address(row["address"]),
                leaving=row["state"] != "ready",
                service=str(row["target_service"]),
                slots=int(row.get("capacity_slots") or 0),
            )
            for row in raw["instances"]
        ]
        token = raw.get("next_token")
    except (LookupError, TypeError, ValueError, AttributeError, OverflowError) as wrong:
        raise FleetError(ErrorKind.BROKEN, "list", peer, f"not a page of instances: {wrong!r}") from None
    return rows, token if isinstance(token, str) else None


def _checked_address(address: Any) -> str:
    """An address that can be dialled.

    >>> _checked_address("10.0.0.1:80")
    '10.0.0.1:80'
    """
    host, _, port = str(address).rpartition(":")
    if not host or _PORT.fullmatch(port) is None or not 0 < int(port) < 65_536:
        raise ValueError("address: not a host and a port")
    try:
        httpx.Request("GET", httpx.URL(scheme="http", host=host, port=int(port)))
    except httpx.InvalidURL as wrong:
        raise ValueError(f"address: {wrong}") from None
    return str(address)


class InstanceLister:
    def __init__(self, client: httpx.AsyncClient, address: str) -> None:
        self._client, self._address = client, address

    async def read(self, wait_ms: float) -> list[Listed]:
        """The whole list, page by page."""
        listed: list[Listed] = []
        token: str | None = ""
        for _ in range(PAGES_MOST):
            try:
                params = {"page_token": token} if token else {}
                url = f"http://{self._address}/instances"
                response = await self._client.get(url, params=params, timeout=wait_ms / 1000)
                response.raise_for_status()
                rows, token = read_page(response.json(), self._address)
            except httpx.HTTPError as error:
                raise FleetError(ErrorKind.SILENT, "list", self._address, repr(error)) from None
            except (ValueError, RecursionError) as error:
                raise FleetError(ErrorKind.BROKEN, "list", self._address, str(error)) from None
            listed += rows
            if token is None:
                return listed
        raise FleetError(ErrorKind.BROKEN, "list", self._address, f"more than {PAGES_MOST} pages")
