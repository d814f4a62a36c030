"""The wire: netstrings of JSON between the fleet's processes, and the world a process runs in."""

from finchswitch.transport.link import GONE, Asked, Book, field, reading, serve_asks, settle
from finchswitch.transport.netstring import Message
from finchswitch.transport.world import Listener, World

__all__ = ["GONE", "Asked", "Book", "Listener", "Message", "World", "field", "reading", "serve_asks", "settle"]
