"""What a control node answers over the wire: one loop over the inbox, one task an ask."""

from finchswitch.accord.change import confirm_current, edit_part, take_change
from finchswitch.accord.council import Council
from finchswitch.accord.document import part_names
from finchswitch.accord.tending import tend_node, tend_part
from finchswitch.constants import CREED_PART
from finchswitch.logs import prefix
from finchswitch.mishap import Mishap, MishapKind
from finchswitch.wire import GONE, Asked, Message, field, serve_asks

__all__ = ["run_council"]

_log = prefix("accord")


async def run_council(council: Council) -> None:
    """Run a control node until cancelled."""
    async with serve_asks(council.world, council.startup.address, council.group) as inbox:
        council.group.start_soon(council.beat_all)
        council.group.start_soon(tend_node, council)
        for part in part_names():
            council.group.start_soon(tend_part, council, part)
        async for asked in inbox:
            council.group.start_soon(_answer, council, asked)


async def _answer(council: Council, asked: Asked) -> None:
    try:
        if asked.kind == GONE:
            council.sessions.line_closed(asked.peer)
        elif asked.kind == "session.beat":
            await asked.answer(_session_beat(council, asked))
        elif asked.kind == "session.leave":
            council.sessions.leave(field(asked.body, "name", str, asked.peer))
            council.tempo.kick()
            await asked.answer({})
        elif asked.kind == "kin.beat":
            council.hear_kin(asked.body, asked.peer, None)
            await asked.answer(council.beat_body())
        elif asked.kind == "news.follow":
            have, holdMs = field(asked.body, "have", dict, asked.peer), field(asked.body, "holdMs", int, asked.peer)
            await asked.answer({"news": await council.news.wait_news(have, holdMs)})
        elif asked.kind == "peer.who":
            await asked.answer(_who(council))
        elif asked.kind == "change":
            await asked.answer(await take_change(council, asked.body))
        elif asked.kind == "current":
            await asked.answer(await confirm_current(council, passed=True))
        elif asked.kind == "part.edit":
            await asked.answer(await edit_part(council, asked.body))
        elif asked.kind.startswith("vote."):
            shown = council.chamber.answer(asked.kind, asked.body)
            if asked.kind == "vote.commit" and shown:
                council.publish(shown["part"], shown["document"])
                shown = {}
            await asked.answer(shown)
        else:
            raise Mishap(MishapKind.BROKEN, "shape", asked.peer, f"unknown kind {asked.kind[:40]}")
    except Mishap as mishap:
        _log.info("Refused {}. {}", asked.kind, mishap)
        await (asked.close() if mishap.kind is MishapKind.BROKEN else asked.refuse(str(mishap)))
    except (KeyError, TypeError, ValueError, AttributeError) as wrong:
        _log.warning("Closed {} for a message of the wrong shape: {} {!r}.", asked.peer, asked.kind, wrong)
        await asked.close()


def _who(council: Council) -> Message:
    return {"plane": "control", "controls": sorted({council.startup.address, *council.kindred.addresses})}


def _session_beat(council: Council, asked: Asked) -> Message:
    body, nowMs = asked.body, council.world.nowMs()
    beat = {key: field(body, key, str, asked.peer) for key in ("address", "http", "district", "incarnation")}
    generations = field(body, "generations", dict, asked.peer)
    name = field(body, "name", str, asked.peer)
    if council.sessions.beat(name, {**beat, "generations": generations}, asked.peer, nowMs):
        council.tempo.kick()
    alive = [kin.address for kin in council.kindred.alive(nowMs)]
    return {
        "current": council.current(CREED_PART, nowMs),
        "generations": council.news.generations(),
        "controls": sorted({council.startup.address, *alive}),
        "members": council.sessions.members(nowMs),
    }
