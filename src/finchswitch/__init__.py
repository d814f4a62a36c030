"""finchswitch: a router fleet that carries language model traffic across moves from one hall of runners to another."""

__version__ = "0.1.0"
