"""What slopes are measured on: a node, a list's rows, members and openings with names as long as real ones."""

from types import SimpleNamespace
from typing import Any, cast

from finchswitch.affinity import Opening
from finchswitch.bounds import Bounds
from finchswitch.constants import TOLD_TOKENS
from finchswitch.programs.startup import Startup
from finchswitch.router.node import Node
from finchswitch.router.platform import Listed
from finchswitch.transport import Message
from finchswitch.transport.real import RealWorld

__all__ = ["SERVICE", "make_node", "member_rows", "opening_of_size", "rows_of", "startup_of"]

SERVICE = "model-00"


def startup_of(name: str, district: str = "region-1/zone-1") -> Startup:
    """A process's place, with addresses as long as real ones."""
    seeds = [f"10.101.9.{at}:7100" for at in range(1, 4)]
    bounds = Bounds(list_unknown_ms=1e12)
    return Startup(name, "10.101.9.200:7100", "10.101.9.200:8000", district, seeds, "10.101.0.2:8001", bounds=bounds)


class OpenNode(Node):
    """A node that grants without a session; all else is its own."""

    def may_grant(self) -> bool:
        return True


def make_node(name: str) -> OpenNode:
    return OpenNode(RealWorld(1), startup_of(name), cast(Any, SimpleNamespace(start_soon=lambda *_: None)))


def rows_of(count: int) -> list[Listed]:
    """Rows of a platform's list; incarnations have 20 characters."""
    return [
        Listed(
            f"runner-{at:04d}", f"runner-{at:04d}-{at:08x}", f"10.102.{at // 250}.{at % 250}:9000", False, SERVICE, 50
        )
        for at in range(count)
    ]


def member_rows(count: int) -> list[Message]:
    """Members as a session's answer lists them, over seven zones."""
    zone = "region-{}/zone-{}"
    return [
        {
            "name": f"transit-{at:03d}",
            "address": f"10.101.{at // 250}.{at % 250}:7100",
            "http": f"10.101.{at // 250}.{at % 250}:8000",
            "district": zone.format(at % 7 // 3, at % 7),
        }
        for at in range(count)
    ]


def opening_of_size(at: int, tokens: int = TOLD_TOKENS) -> Opening:
    return Opening(SERVICE, f"{at:020x}", tokens, 200)
