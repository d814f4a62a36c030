"""What a control node answers over the wire: one loop over the inbox, one task an ask."""

from finchswitch.accord.change import confirm_current, edit_part, take_change
from finchswitch.accord.council import Council
from finchswitch.accord.document import digest_of, part_names
from finchswitch.accord.tending import tend_node, tend_part
from finchswitch.constants import CREED_PART
from finchswitch.logs import prefix
from finchswitch.mishap import Mishap, MishapKind
from finchswitch.wire import GONE, Asked, Message, field, serve_asks, settle

__all__ = ["answer_session", "run_council"]

_log = prefix("accord")


async def run_council(council: Council) -> None:
    """Run a control node until cancelled."""
    async with serve_asks(council.world, council.startup.address, council.group) as inbox:
        council.group.start_soon(council.beat_all)
        council.group.start_soon(tend_node, council)
        for part in part_names():
            council.group.start_soon(tend_part, council, part)
        async for asked in inbox:
            if asked.kind == GONE:
                council.sessions.line_closed(asked.peer)
            else:
                council.group.start_soon(settle, asked, _answer(council, asked), _log)


async def _answer(council: Council, asked: Asked) -> Message:
    if asked.kind == "session.beat":
        return answer_session(council, asked)
    if asked.kind == "session.leave":
        council.sessions.leave(field(asked.body, "name", str, asked.peer))
        council.tempo.kick()
        return {}
    if asked.kind == "session.forget":
        return {"forgotten": council.sessions.forget(field(asked.body, "name", str, asked.peer))}
    if asked.kind == "kin.beat":
        council.hear_kin(asked.body, asked.peer, None)
        return council.beat_body()
    if asked.kind == "news.follow":
        return await council.news.answer_follower(asked.body, asked.peer)
    if asked.kind == "peer.who":
        if asked.body.get("plane") == "control":
            council.kindred.addresses.add(field(asked.body, "address", str, asked.peer))
        return _who(council)
    if asked.kind == "change":
        return await take_change(council, asked.body)
    if asked.kind == "current":
        return await confirm_current(council, passed=True)
    if asked.kind == "part.edit":
        return await edit_part(council, asked.body)
    if asked.kind.startswith("vote."):
        shown = council.chamber.answer(asked.kind, asked.body)
        if asked.kind == "vote.commit" and shown:
            council.publish(shown["part"], shown["document"])
            return {}
        return shown
    raise Mishap(MishapKind.BROKEN, "shape", asked.peer, f"unknown kind {asked.kind[:40]}")


def _who(council: Council) -> Message:
    return {"plane": "control", "controls": sorted({council.startup.address, *council.kindred.addresses})}


def answer_session(council: Council, asked: Asked) -> Message:
    """Answer a session's beat: whether what is held here is current, who else is control, and the members."""
    body, now_ms = asked.body, council.world.now_ms()
    beat = {key: field(body, key, str, asked.peer) for key in ("address", "http", "district", "incarnation")}
    generations = field(body, "generations", dict, asked.peer)
    name = field(body, "name", str, asked.peer)
    if council.sessions.beat(name, {**beat, "generations": generations}, asked.peer, now_ms):
        council.tempo.kick()
    alive = [kin.address for kin in council.kindred.alive(now_ms)]
    answer = {
        "current": council.current(CREED_PART, now_ms),
        "generations": council.news.generations(),
        "controls": sorted({council.startup.address, *alive}),
    }
    members = council.sessions.members(now_ms)
    mark = digest_of(members)
    if body.get("membersMark") != mark:
        answer.update({"members": members, "membersMark": mark})
    if "word" in body:
        council.sessions.hear_word(name, field(body, "word", dict, asked.peer))
        answer["others"] = council.sessions.others(name, now_ms)
    return answer
