"""The relay: how committed documents travel down a tree of the nodes themselves."""

from finchswitch.distribution.news import NewsBook
from finchswitch.distribution.tree import parent_of

__all__ = ["NewsBook", "parent_of"]
