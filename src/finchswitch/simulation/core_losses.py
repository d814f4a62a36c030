"""What scenes and tests of losses of control machines share: opening, waiting for full tolerance, a last look."""

from finchswitch.constants import CONFIGURATION_PART
from finchswitch.control.document import part_names
from finchswitch.simulation.cluster import Cluster
from finchswitch.simulation.scenes import mark_edit
from finchswitch.simulation.tolerance import full_parts

__all__ = ["change_until", "holds_after", "open_core", "until_full"]


async def until_full(cluster: Cluster, tolerance: int = 1, most_ms: float = 12_000) -> bool:
    """Wait until each part has its full tolerance; whether that came in time."""
    until_ms = cluster.now_ms() + most_ms
    while len(full_parts(cluster, tolerance)) < len(part_names()) and cluster.now_ms() < until_ms:
        await cluster.outside.sleep(20)
    return full_parts(cluster, tolerance) == set(part_names())


async def open_core(cluster: Cluster, tolerance: int = 1) -> tuple[str, list[str]]:
    """Found a core and have a change taken; the configuration's owner, and the other members."""
    await cluster.insist({"configuration": cluster.deployment.configuration()})
    await cluster.insist(mark_edit("mark-before"), "mark-before")
    await until_full(cluster, tolerance)
    cores = cluster.of_kind("accord")
    owner = next(a.name for a in cores if a.control and a.control.proposers[CONFIGURATION_PART].owns())
    return owner, [process.name for process in cores if process.name != owner]


async def change_until(cluster: Cluster, mark: str, most_ms: float = 4_000) -> bool:
    """Send a change to nodes that run until it is taken; whether that was within the time."""
    until_ms, change_id, base = cluster.now_ms() + most_ms, f"change-{mark}", cluster.newest()
    while cluster.now_ms() < until_ms:
        running = [process.name for process in cluster.of_kind("accord") if process.group is not None]
        at = cluster.chance.choice(running)
        change = await cluster.change(base, mark_edit(mark), mark, at, change_id=change_id, again=True)
        if change.status in (200, 202):
            return True
        if change.status == 409:
            base, change_id = change.generation, f"{change_id}-{change.generation}"
        await cluster.outside.sleep(50)
    return False


async def holds_after(cluster: Cluster, tolerance: int = 1, most_ms: float = 12_000) -> str:
    """What is wrong after a loss: no full tolerance, no change taken, or one that was acknowledged is lost."""
    if not await until_full(cluster, tolerance, most_ms):
        return f"full tolerance only in {sorted(full_parts(cluster, tolerance))}"
    if not await change_until(cluster, "mark-after"):
        return "no change is taken"
    await cluster.outside.sleep(500)
    running = [a for a in cluster.of_kind("accord") if a.group is not None and a.control is not None]
    held = {a.name: a.control.news.body(CONFIGURATION_PART).get("services", {}) for a in running if a.control}
    lacking = [name for name, services in held.items() if not {"mark-before", "mark-after"} <= services.keys()]
    return f"{', '.join(lacking)} lack a change" if lacking else ""
