"""What a control node answers over the wire: one loop over the inbox, one task an ask."""

from finchswitch.constants import CONFIGURATION_PART
from finchswitch.control.changes import confirm_current, edit_part, take_change
from finchswitch.control.control_node import ControlNode
from finchswitch.control.document import digest_of, part_names
from finchswitch.control.elections import tend_node, tend_part
from finchswitch.control.leaving import show_group, stand_now
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.logs import prefix
from finchswitch.transport import GONE, Asked, Message, field, serve_asks, settle

__all__ = ["answer_session", "run_control_node"]

_log = prefix("accord")


async def run_control_node(control: ControlNode) -> None:
    """Run a control node until cancelled."""
    async with serve_asks(control.world, control.startup.address, control.group) as inbox:
        control.group.start_soon(control.beat_all)
        control.group.start_soon(tend_node, control)
        for part in part_names():
            control.group.start_soon(tend_part, control, part)
        async for asked in inbox:
            if asked.kind == GONE:
                control.sessions.line_closed(asked.peer)
            else:
                control.group.start_soon(settle, asked, _answer(control, asked), _log)


async def _answer(control: ControlNode, asked: Asked) -> Message:
    if asked.kind == "session.beat":
        return answer_session(control, asked)
    if asked.kind == "session.leave":
        control.sessions.leave(field(asked.body, "name", str, asked.peer))
        control.tempo.kick()
        return {}
    if asked.kind == "session.forget":
        return {"forgotten": control.sessions.forget(field(asked.body, "name", str, asked.peer))}
    if asked.kind == "kin.beat":
        control.hear_control_peer(asked.body, asked.peer, None)
        return control.beat_body()
    if asked.kind == "news.follow":
        return await control.news.answer_follower(asked.body, asked.peer)
    if asked.kind == "peer.who":
        if asked.body.get("plane") == "control":
            control.control_peers.addresses.add(field(asked.body, "address", str, asked.peer))
        return _who(control)
    if asked.kind == "change":
        return await take_change(control, asked.body)
    if asked.kind == "current":
        return await confirm_current(control, passed=True)
    if asked.kind == "part.edit":
        return await edit_part(control, asked.body)
    if asked.kind in ("part.stand", "part.group"):
        part = field(asked.body, "part", str, asked.peer)
        if part not in control.proposers:
            raise FleetError(ErrorKind.REFUSED, asked.kind, part, "no such part")
        return await stand_now(control, part) if asked.kind == "part.stand" else show_group(control, part)
    if asked.kind.startswith("vote."):
        shown = await control.replicas.answer_in_turn(asked.kind, asked.body)
        if asked.kind == "vote.commit" and shown:
            control.publish(shown["part"], shown["document"])
            return {}
        return shown
    raise FleetError(ErrorKind.BROKEN, "shape", asked.peer, f"unknown kind {asked.kind[:40]}")


def _who(control: ControlNode) -> Message:
    return {
        "plane": "control",
        "controls": sorted({control.startup.address, *control.control_peers.addresses}),
        "current": control.current(CONFIGURATION_PART, control.world.now_ms()),
    }


def answer_session(control: ControlNode, asked: Asked) -> Message:
    """Answer a session's beat: whether what is held here is current, who else is control, and the members."""
    body, now_ms = asked.body, control.world.now_ms()
    beat = {key: field(body, key, str, asked.peer) for key in ("address", "http", "district", "incarnation")}
    generations = field(body, "generations", dict, asked.peer)
    name = field(body, "name", str, asked.peer)
    if control.sessions.beat(name, {**beat, "generations": generations}, asked.peer, now_ms):
        control.tempo.kick()
    alive = [control_peer.address for control_peer in control.control_peers.alive(now_ms)]
    age_ms = control.current_age_ms(CONFIGURATION_PART, now_ms)
    answer = {
        "current": age_ms is not None,
        "currentAgeMs": age_ms or 0.0,
        "generations": control.news.generations(),
        "controls": sorted({control.startup.address, *alive}),
    }
    members = control.sessions.members(now_ms)
    mark = digest_of(members)
    if body.get("membersMark") != mark:
        answer.update({"members": members, "membersMark": mark})
    if "word" in body:
        control.sessions.hear_word(name, field(body, "word", dict, asked.peer), now_ms)
        answer["others"] = control.sessions.others(name, now_ms)
    return answer
