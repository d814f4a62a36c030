"""The wire: netstrings of JSON between the fleet's processes, and the world a process runs in."""

from finchswitch.transport.asked import GONE, Asked, serve_asks, settle
from finchswitch.transport.book import Book, Lane
from finchswitch.transport.netstring import Message
from finchswitch.transport.shape import field, reading
from finchswitch.transport.world import Listener, World

__all__ = ["GONE", "Asked", "Book", "Lane", "Listener", "Message", "World", "field", "reading", "serve_asks", "settle"]
