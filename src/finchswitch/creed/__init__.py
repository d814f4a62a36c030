"""The creed: the configuration that operators send, read and checked whole before anything is taken."""

from finchswitch.creed.check import check_creed, read_creed, written
from finchswitch.creed.edits import apply_edits, edits_between
from finchswitch.creed.model import Binding, Creed, Plan, Repeat, Route, Runner, Service, Settings

__all__ = [
    "Binding",
    "Creed",
    "Plan",
    "Repeat",
    "Route",
    "Runner",
    "Service",
    "Settings",
    "apply_edits",
    "check_creed",
    "edits_between",
    "read_creed",
    "written",
]
