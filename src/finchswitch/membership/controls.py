"""The control nodes that a routing node knows of, and the one that holds its session.

Seeds may be processes of any kind; whoever is asked says what it is and which control nodes it knows.
"""

import anyio

from finchswitch.constants import BEAT_MS, CONTROLS_ASKED
from finchswitch.errors import FleetError
from finchswitch.logs import prefix
from finchswitch.transport import Book, World, field

__all__ = ["Controls"]

_log = prefix("kinship")


class Controls:
    def __init__(self, world: World, book: Book, own: str, seeds: list[str]) -> None:
        self._world, self._book, self._own = world, book, own
        self._seeds = list(seeds)
        self._routing: set[str] = set()  # seeds that turned out to be routing nodes
        self.addresses = list(seeds)
        self.chosen = ""

    def new_seeds(self, seeds: list[str]) -> None:
        """Other processes to ask when no control node is known any more."""
        self._seeds = list(seeds)
        self.addresses = sorted({*self.addresses, *seeds})

    def hear(self, addresses: list[str]) -> None:
        """The control nodes that one of them sees."""
        self.addresses = sorted({*self._seeds, *addresses})

    def meet(self, address: str) -> None:
        if address not in self.addresses:
            self.addresses.append(address)

    def known(self) -> list[str]:
        return [each for each in self.addresses if each not in self._routing]

    def elsewhere(self) -> bool:
        """Take another control node than the present one, if one is known."""
        others = [each for each in self.known() if each != self.chosen]
        self.chosen = self._world.chance.choice(others) if others else ""
        return bool(others)

    async def find_current(self) -> bool:
        """Ask several known control nodes at once, and take one that says that it is current; whether there was one.

        Where none does, the present one is kept if it answered; else another is tried.
        """
        known = [each for each in self.known() if each != self._own]
        drawn = self._world.chance.sample(known, min(CONTROLS_ASKED, len(known)))
        answered: dict[str, bool] = {}

        async def ask_one(address: str) -> None:
            current = await self.ask_who(address)
            if current is not None:
                answered[address] = current

        async with anyio.create_task_group() as group:
            for address in drawn:
                group.start_soon(ask_one, address)
        current = sorted(address for address, is_current in answered.items() if is_current)
        if current:
            self.chosen = self._world.chance.choice(current)
        elif self.chosen not in answered:
            self.elsewhere()
        return bool(current)

    async def ask_seeds(self) -> None:
        for address in self._seeds:
            if address != self._own:
                await self.ask_who(address)

    async def ask_who(self, address: str) -> bool | None:
        """Ask a process what it is and which control nodes it knows; a seed may be of any kind.

        Whether it is a control node that is current; None where nobody answers.
        """
        try:
            answer = await self._book.ask(address, "peer.who", {"plane": "routing", "address": ""}, BEAT_MS)
            routing = field(answer, "plane", str, address) == "routing"
            (self._routing.add if routing else self._routing.discard)(address)
            for each in field(answer, "controls", list, address):
                self.meet(str(each))
            return not routing and answer.get("current") is True
        except FleetError as error:
            _log.debug("Nobody says who is at {}. {}", address, error)
            return None
