"""The configuration that operators send, read and checked whole before anything is taken."""

from finchswitch.configuration.check import check_configuration, read_configuration, written
from finchswitch.configuration.edits import apply_edits, edits_between, keep_unchanged
from finchswitch.configuration.model import Binding, Configuration, Plan, Repeat, Route, Runner, Service, Settings
from finchswitch.configuration.reader import ConfigurationReader

__all__ = [
    "Binding",
    "Configuration",
    "ConfigurationReader",
    "Plan",
    "Repeat",
    "Route",
    "Runner",
    "Service",
    "Settings",
    "apply_edits",
    "check_configuration",
    "edits_between",
    "keep_unchanged",
    "read_configuration",
    "written",
]
