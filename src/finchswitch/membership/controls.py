"""The control nodes that a routing node knows of, and the one that holds its session.

Seeds may be processes of any kind; whoever is asked says what it is and which control nodes it knows.
"""

from finchswitch.constants import BEAT_MS
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

    async def ask_seeds(self) -> None:
        for address in self._seeds:
            if address != self._own:
                await self.ask_who(address)

    async def ask_who(self, address: str) -> None:
        """Ask a process what it is and which control nodes it knows; a seed may be of any kind."""
        try:
            answer = await self._book.ask(address, "peer.who", {"plane": "routing", "address": ""}, BEAT_MS)
            routing = field(answer, "plane", str, address) == "routing"
            (self._routing.add if routing else self._routing.discard)(address)
            for each in field(answer, "controls", list, address):
                self.meet(str(each))
        except FleetError as error:
            _log.debug("Nobody says who is at {}. {}", address, error)
