"""What a routing node answers over the wire, and the loops that it runs."""

from finchswitch.logs import prefix
from finchswitch.mishap import Mishap, MishapKind
from finchswitch.transit.node import Node
from finchswitch.wire import GONE, Asked, field, serve_asks

__all__ = ["run_node"]

_log = prefix("transit")


async def run_node(node: Node) -> None:
    """Run a routing node's planes until cancelled; callers are served beside it."""
    async with serve_asks(node.world, node.startup.address, node.group) as inbox:
        node.group.start_soon(node.member.keep_session)
        node.group.start_soon(node.member.beat_peers, node)
        node.group.start_soon(node.follower.follow)
        node.group.start_soon(node.roster.poll)
        node.group.start_soon(node.duties.tend)
        async for asked in inbox:
            if asked.kind != GONE:
                node.group.start_soon(_answer, node, asked)


async def _answer(node: Node, asked: Asked) -> None:
    try:
        if asked.kind == "peer.beat":
            node.member.hear_peer(asked.body, node.world.nowMs())
            node.hear(asked.body)
            await asked.answer(node.member.word(node))
        elif asked.kind == "news.follow":
            have, holdMs = field(asked.body, "have", dict, asked.peer), field(asked.body, "holdMs", int, asked.peer)
            await asked.answer({"news": await node.news.wait_news(have, holdMs)})
        elif asked.kind == "peer.who":
            await asked.answer({"plane": "routing", "controls": node.member.controls})
        else:
            raise Mishap(MishapKind.BROKEN, "shape", asked.peer, f"unknown kind {asked.kind[:40]}")
    except Mishap as mishap:
        _log.info("Refused {}. {}", asked.kind, mishap)
        await (asked.close() if mishap.kind is MishapKind.BROKEN else asked.refuse(str(mishap)))
    except (KeyError, TypeError, ValueError, AttributeError) as wrong:
        _log.warning("Closed {} for a message of the wrong shape: {} {!r}.", asked.peer, asked.kind, wrong)
        await asked.close()
