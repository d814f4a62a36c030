"""Which openings many prompts share: counted here, merged by a duty, and read back as the agreed hot set."""

from typing import TYPE_CHECKING

from finchswitch.affinity import Opening, Popularity
from finchswitch.constants import HOT_MOST
from finchswitch.control.document import part_of

if TYPE_CHECKING:
    from finchswitch.router.node import Node

__all__ = ["Crowds"]


class Crowds:
    def __init__(self, node: "Node") -> None:
        self._node = node
        self._popularity: dict[str, Popularity] = {}

    def popularity(self, service: str) -> Popularity:
        return self._popularity.setdefault(service, Popularity())

    def called(self) -> dict[str, tuple[float, dict[str, float]]]:
        """The highest counts of each service that was called lately."""
        now_ms = self._node.world.now_ms()
        tops = {name: each.top(2 * HOT_MOST, now_ms) for name, each in self._popularity.items()}
        return {name: top for name, top in tops.items() if top[0] >= 1.0}

    def count(self, opening: Opening) -> None:
        """Count a prompt by what it takes of a home, served or not: its own prefill, or its part of the slots."""
        configuration, service = self._node.configuration(), opening.service
        name = self._node.bound.get(service)
        if name is not None:
            bound = [configuration.runners[each] for each in configuration.bindings[name].runners]
            prefill_ms = 1000 * opening.own_tokens / min(each.prefill_tokens_per_s for each in bound)
            slots = min(each.slots for each in bound)
        elif service in configuration.services and configuration.services[service].listed:
            prefill_ms = opening.own_tokens / self._node.burdens.speeds.tokens_a_ms(service)
            slots = configuration.services[service].slots
        else:
            return
        slot_ms = self._node.burdens.service_ms(service) / slots
        self.popularity(service).count(opening.digest, max(prefill_ms, slot_ms), self._node.world.now_ms())

    def hot(self, service: str) -> list[str]:
        record = self._node.news.body(part_of(f"hot/{service}")).get("hot", {}).get(service)
        return list(record["openings"]) if record else []
