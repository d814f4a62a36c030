"""What a live node shows for mirror: homes that move with a plan, the same at each node that holds the same."""

from finchswitch.router.doors import believed
from finchswitch.simulation.scenes import open_up


def test_homes_are_the_same_at_each_node_and_move_with_a_plan(staged):
    async def scene(cluster):
        await open_up(cluster)
        nodes = [process.node for process in cluster.of_kind("transit")]
        before = [believed(node)["homes"] for node in nodes]
        assert all(each == before[0] for each in before) and len(set(before[0]["rulings"])) > 1
        value = {"leaving": ["village-r1"], "arriving": cluster.deployment.spare, "bindings": ["rulings"]}
        await cluster.insist({"edits": [{"kind": "plans", "name": "move", "value": value}]})
        await cluster.outside.sleep(15_000)
        after = [believed(node)["homes"] for node in nodes]
        assert all(each == after[0] for each in after)
        assert "village-r1" in before[0]["rulings"] and "village-r1" not in after[0]["rulings"]
        assert after[0]["rounds"] == before[0]["rounds"]

    staged(scene)
