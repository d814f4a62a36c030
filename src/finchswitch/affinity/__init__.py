"""Affinity: which runner most likely holds a prompt's opening, and whether it can still give a timely first token.

The two tiers are those of the source (see ``docs/design.md``): a small hot set goes to any runner without
affinity, every other opening to the runner that owns it by hash.
"""

from finchswitch.affinity.beliefs import Beliefs
from finchswitch.affinity.burden import Burdens
from finchswitch.affinity.draw import Choices, Drawn, Draws, Seatable, Way, owners
from finchswitch.affinity.homes import home_order
from finchswitch.affinity.opening import Opening, opening_of
from finchswitch.affinity.popularity import Popularity, pick_hot

__all__ = [
    "Beliefs",
    "Burdens",
    "Choices",
    "Drawn",
    "Draws",
    "Opening",
    "Popularity",
    "Seatable",
    "Way",
    "home_order",
    "opening_of",
    "owners",
    "pick_hot",
]
