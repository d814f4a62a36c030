"""A beat loop that is kicked: at once after quiet, and no more often than its least pause."""

import anyio

from finchswitch.membership.tempo import Tempo
from finchswitch.simulation.machine import Machine
from finchswitch.simulation.network import Net
from finchswitch.simulation.play import in_virtual_time
from finchswitch.simulation.world import SimWorld

BEAT_MS = 250


def rounds_under_kicks(every_ms, for_ms, least_ms):
    """When the rounds began, in milliseconds, of a loop that is kicked so often from 100 ms on."""
    began = []

    async def run():
        world = SimWorld(Net(None), Machine("m", 0.0), 1)
        tempo = Tempo(world, least_ms)

        async def beat():
            while True:
                began.append(round(world.now_ms()))
                await tempo.pause(BEAT_MS)

        async with anyio.create_task_group() as group:
            group.start_soon(beat)
            await world.sleep(100)
            while world.now_ms() < 100 + for_ms:
                tempo.kick()
                await world.sleep(every_ms)
            await world.sleep(BEAT_MS - 1)
            group.cancel_scope.cancel()

    in_virtual_time(run, 1)
    return began


def test_the_first_kick_after_quiet_is_heard_at_once():
    assert rounds_under_kicks(1, 1, 10)[:2] == [0, 100]


def test_kicks_in_quick_succession_make_one_round_a_least_pause_and_the_last_is_not_lost():
    began = rounds_under_kicks(1, 50, 10)
    assert began == [0, 100, 110, 120, 130, 140, 150]
