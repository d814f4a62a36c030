"""Urgent requests are refused only for what is as urgent: seen by users as service that did not come back.

All machines were lost with most runners down. The prompts of summaries, which may wait longer, kept the backlog of the
runners that were left above what a question may wait for, and nearly every question was refused.
"""

import dataclasses

from finchswitch.affinity import Opening
from finchswitch.bounds import Bounds
from finchswitch.router.dialect import Call, Refusal
from finchswitch.simulation.deployments import VILLAGE
from finchswitch.simulation.play import play
from finchswitch.simulation.scenes import open_up

LATE = dataclasses.replace(VILLAGE, bounds=Bounds(aim_share=0.8, late_share=2.5))
LONG_TOKENS = 80_000  # ten seconds of reading: past what either kind of request may wait for
URGENT, MAY_WAIT = 0, 1


def call(rank):
    return Call("id", "rulings", False, Opening("rulings", "opening", 100, 30), b"", rank=rank)


def granted(node, rank):
    return not isinstance(node.grant(call(rank), set(), node.world.now_ms()), Refusal)


def test_long_prompts_that_may_wait_refuse_no_urgent_request():
    seen = {}

    async def scene(cluster):
        await open_up(cluster)
        node, other = (cluster.processes[name].node for name in ("transit1", "transit2"))
        runners = [each.incarnation for each in other.roster.up().values()]
        for incarnation in runners:
            other.burdens.take(object(), incarnation, LONG_TOKENS, 0.125, other.world.now_ms(), rank=MAY_WAIT)
        await cluster.outside.sleep(600)
        for at in (node, other):
            seen[at.startup.name, "behind what may wait"] = (granted(at, URGENT), granted(at, MAY_WAIT))
        for incarnation in runners:
            other.burdens.take(object(), incarnation, LONG_TOKENS, 0.125, other.world.now_ms(), rank=URGENT)
        await cluster.outside.sleep(600)
        for at in (node, other):
            seen[at.startup.name, "behind urgent ones"] = (granted(at, URGENT), granted(at, MAY_WAIT))

    play(scene, LATE, 1)
    for name in ("transit1", "transit2"):
        assert seen[name, "behind what may wait"] == (True, False)
        assert seen[name, "behind urgent ones"] == (False, False)
