"""How long a planned stop of a routing node takes, by how far the node had come."""

from finchswitch.platform.stand_in_documents import DOCUMENT
from finchswitch.platform.stand_in_fleet import play_fleet


def stopped_after(scene_before_stop):
    """What the node had come to, and the milliseconds of its stop."""
    took = []

    async def scene(fleet):
        await scene_before_stop(fleet)
        began_ms, node = fleet.now_ms(), fleet.processes["transit1"].node
        await fleet.stop_softly("transit1")
        took.append((node.bounds.stop_settle_ms, fleet.now_ms() - began_ms))

    play_fleet(scene)
    return took[0]


def test_a_node_that_was_never_ready_has_nobody_to_wait_for():
    async def before(fleet):
        fleet.start_all()
        await fleet.outside.sleep(100)

    settle_ms, took_ms = stopped_after(before)
    assert took_ms < settle_ms / 2


def test_a_node_that_was_ready_takes_requests_until_the_platform_has_seen_that_it_is_not():
    async def before(fleet):
        await fleet.open_up(DOCUMENT)

    settle_ms, took_ms = stopped_after(before)
    assert settle_ms <= took_ms < 3 * settle_ms
