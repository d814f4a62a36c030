"""Duties of one node: one that is held up delays no other, and reading vitals leaves no trail of connections."""

from finchswitch.simulation.scenes import open_up


def test_dark_runners_do_not_delay_a_plan(staged):
    """One node has all duties, and two runners that the plan does not touch are dark: its steps come in time."""
    took = []

    async def scene(cluster):
        await open_up(cluster)
        for name in ("transit2", "transit3", "transit4"):
            await cluster.stop_softly(name)
        await cluster.outside.sleep(3_000)
        for name in cluster.deployment.runner_names()[1:]:
            cluster.freeze(f"{name}-i1")
        value = {"leaving": ["village-r1"], "arriving": cluster.deployment.spare, "bindings": ["rulings"]}
        await cluster.insist({"edits": [{"kind": "plans", "name": "move", "value": value}]})
        began_ms, node = cluster.now_ms(), cluster.processes["transit1"].node
        while (node.plan_state("move") or {}).get("phase") not in ("draining", "done"):
            await cluster.outside.sleep(50)
            assert cluster.now_ms() - began_ms < 30_000
        took.append(cluster.now_ms() - began_ms)

    staged(scene)
    assert took[0] < 11_500  # the waiting step and eight shares, each within 1.25 s


def test_vitals_are_read_over_kept_connections(staged):
    async def scene(cluster):
        await open_up(cluster)
        await cluster.outside.sleep(10_000)

    assert len(staged(scene).dials) <= 8  # four runners; before, each reading dialled: some eighty
