"""Runners that fall silent: an answer is taken from one only where another can go on with it."""

import pytest

from finchswitch.platform.stand_in_checks import judge, not_whole
from finchswitch.platform.stand_in_documents import DOCUMENT, RESUMED
from finchswitch.platform.stand_in_fleet import play_fleet

SILENT_MS = 1_500.0
EVENT_MS = 20.0


async def hold_back(fleet, instances):
    """The runners send nothing for a while, and then go on."""
    for instance in instances:
        instance.event_ms = SILENT_MS
    await fleet.outside.sleep(SILENT_MS)
    for instance in instances:
        instance.event_ms = EVENT_MS


@pytest.mark.parametrize("most_runners", [2, 3, 9])
def test_no_answer_is_cut_when_all_runners_are_silent_at_once(most_runners):
    async def scene(fleet):
        route = {**RESUMED, "max_attempts": most_runners}
        await fleet.open_up({**DOCUMENT, "routes": [route]})
        fleet._group.start_soon(fleet.ask_openly, route, 10.0, 4_000, 60)
        await fleet.outside.sleep(2_000)
        await hold_back(fleet, list(fleet.instances.values()))
        await fleet.outside.sleep(6_000)

    fleet = play_fleet(scene)
    seen = fleet.seen()
    assert judge(seen) == {} and len(seen.asked) > 25
    refused = (503,)  # what comes meanwhile is refused at once
    assert [each for each in not_whole(seen, "r-resumed") if each[1] not in refused] == []


def test_an_answer_under_way_at_a_stopping_node_may_go_on_at_another_runner():
    moved = []

    async def scene(fleet):
        await fleet.open_up({**DOCUMENT, "routes": [RESUMED]})
        for instance in fleet.instances.values():
            instance.turn_full(64)  # room for all that is taken from another
        fleet._group.start_soon(fleet.ask_openly, RESUMED, 25.0, 5_000, 150)
        await fleet.outside.sleep(1_500)
        fleet._group.start_soon(fleet.stop_softly, "transit1")
        node = fleet.processes["transit1"].node
        while node.member.state.name != "STOPPING":
            await fleet.outside.sleep(10)
        under_way = {attempt for attempt in node.underway}
        moved.append(under_way)
        for instance in list(fleet.instances.values())[:1]:
            instance.break_after = 0
        await fleet.outside.sleep(100)
        for instance in fleet.instances.values():
            instance.break_after = None
        await fleet.outside.sleep(8_000)

    fleet = play_fleet(scene)
    seen = fleet.seen()
    assert judge(seen) == {} and len(moved[0]) > 3
    assert [each for each in not_whole(seen, "r-resumed") if each[0] in moved[0]] == []
    assert any(run.after > 0 for run in seen.ran if run.attempt in moved[0])
