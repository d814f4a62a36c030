"""The relay: how committed documents travel down a tree of the nodes themselves."""

from finchswitch.relay.news import NewsBook
from finchswitch.relay.tree import parent_of

__all__ = ["NewsBook", "parent_of"]
