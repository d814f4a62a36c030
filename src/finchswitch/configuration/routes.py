"""Routes: how a request's host and path lead to a service, and what is wrong with routes in a configuration.

A prefix begins and ends with a slash. Of the routes of a host the one with the longest prefix that begins the path
counts. It is found by looking up the path's own beginnings, so that the number of routes does not matter.
"""

import hashlib
from collections.abc import Iterator

from finchswitch.configuration.model import Configuration, Route
from finchswitch.constants import ROUTE_RUNNERS_MOST, TIMEOUT_MOST_MS, WEIGHT_MOST

__all__ = ["RouteTable", "check_routes", "pick_target"]


class RouteTable:
    """The routes of one configuration, by host and prefix."""

    def __init__(self, configuration: Configuration) -> None:
        self._names = {(route.host.lower(), route.prefix): name for name, route in configuration.routes.items()}

    def find(self, host: str, path: str) -> str | None:
        """The name of the route, or None.

        >>> from finchswitch.configuration.model import Route
        >>> routes = {"a": Route("h.example", "/x/", {"s": 1}, 9), "b": Route("h.example", "/x/y/", {"s": 1}, 9)}
        >>> table = RouteTable(Configuration(routes=routes))
        >>> [table.find("H.example:80", path) for path in ("/x/z", "/x/y/", "/x/y", "/x", "/")]
        ['a', 'b', 'a', None, None]
        """
        name = host.rpartition(":")[0] if ":" in host else host
        for prefix in _beginnings(path):
            found = self._names.get((name.lower(), prefix))
            if found is not None:
                return found
        return None


def _beginnings(path: str) -> Iterator[str]:
    at = path.rfind("/")
    while at >= 0:
        yield path[: at + 1]
        at = path.rfind("/", 0, at)


def check_routes(configuration: Configuration, before: Configuration | None = None) -> list[str]:
    """What is wrong with the routes, each named by its field.

    Routes that are the very objects of a valid configuration are only compared with the other routes, as long as no
    service of that configuration is gone.
    """
    wrong: list[str] = []
    checked = before.routes if before is not None and before.services.keys() <= configuration.services.keys() else {}
    seen: dict[tuple[str, str], str] = {}
    for name, route in configuration.routes.items():
        other = seen.setdefault((route.host.lower(), route.prefix), name)
        if checked.get(name) is not route:
            wrong.extend(_check_route(f"routes.{name}", route, other if other != name else "", configuration))
        elif other != name:
            wrong.append(_same(f"routes.{name}", other))
    return wrong


def _same(where: str, other: str) -> str:
    return f"{where}.prefix: {other} has the same host and prefix"


def _check_route(where: str, route: Route, other: str, configuration: Configuration) -> list[str]:
    wrong: list[str] = []
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        wrong.append(f"{where}.prefix: a path that begins and ends with a slash is needed")
    if other:
        wrong.append(_same(where, other))
    for service, weight in route.targets.items():
        if service not in configuration.services:
            wrong.append(f"{where}.targets: unknown service {service}")
        if not 0 <= weight <= WEIGHT_MOST:
            wrong.append(f"{where}.targets.{service}: {weight} is not within 0 and {WEIGHT_MOST}")
    if sum(route.targets.values()) <= 0:
        wrong.append(f"{where}.targets: the weights add up to 0")
    if not 1 <= route.timeout_ms <= TIMEOUT_MOST_MS:
        wrong.append(f"{where}.timeoutMs: {route.timeout_ms} is not within 1 and {TIMEOUT_MOST_MS}")
    if not 1 <= route.most_runners <= ROUTE_RUNNERS_MOST:
        wrong.append(f"{where}.mostRunners: {route.most_runners} is not within 1 and {ROUTE_RUNNERS_MOST}")
    if route.first_aim_ms < 1 or route.gap_aim_ms < 0 or route.rank < 0:
        wrong.append(f"{where}: an aim or a rank is below what makes sense")
    return wrong


def pick_target(targets: dict[str, int], key: str) -> str:
    """The service that a key goes to, by weight: the same key always to the same one.

    >>> pick_target({"a": 1}, "x"), sorted({pick_target({"a": 1, "b": 3}, str(at)) for at in range(40)})
    ('a', ['a', 'b'])
    """
    if len(targets) == 1:
        return next(iter(targets))
    place = int.from_bytes(hashlib.sha256(key.encode()).digest()[:6], "big") % sum(targets.values())
    for service, weight in sorted(targets.items()):
        place -= weight
        if place < 0:
            return service
    raise AssertionError("the weights add up to more than 0")
