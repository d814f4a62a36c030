"""What a routing node answers over the wire, and the loops that it runs."""

from finchswitch.errors import ErrorKind, FleetError
from finchswitch.logs import prefix
from finchswitch.router.node import Node
from finchswitch.transport import GONE, Asked, Message, field, serve_asks, settle

__all__ = ["run_node"]

_log = prefix("transit")


async def run_node(node: Node) -> None:
    """Run a routing node's planes until cancelled; callers are served beside it."""
    async with serve_asks(node.world, node.startup.address, node.group) as inbox:
        node.group.start_soon(node.member.keep_session, node.word)
        node.group.start_soon(node.member.beat_peers, node.word)
        node.group.start_soon(node.follower.follow)
        node.group.start_soon(node.roster.poll, node.duties.reads_list)
        node.group.start_soon(node.duties.tend)
        node.group.start_soon(node.watch.look)
        node.group.start_soon(node.forget_gone)
        async for asked in inbox:
            if asked.kind != GONE:
                node.group.start_soon(settle, asked, _answer(node, asked), _log)


async def _answer(node: Node, asked: Asked) -> Message:
    if asked.kind == "peer.beat":
        node.member.meet_peer(asked.body)
        node.roster.hear_leaving(asked.body["leaving"])
        if node.roster.is_older_than(asked.body):
            node.group.start_soon(node.member.fetch, asked.body["address"], node.word)
        return {**node.member.word(node.word), "list": node.roster.spoken(asked.body)}
    if asked.kind == "news.follow":
        return await node.news.answer_follower(asked.body, asked.peer)
    if asked.kind == "peer.who":
        if asked.body.get("plane") == "control":
            node.member.controls.meet(field(asked.body, "address", str, asked.peer))
        return {"plane": "routing", "controls": node.member.controls.known()}
    raise FleetError(ErrorKind.BROKEN, "shape", asked.peer, f"unknown kind {asked.kind[:40]}")
