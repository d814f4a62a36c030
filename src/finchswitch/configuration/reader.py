"""A reader of one configuration after another, which reads and checks only what differs from the one before."""

from typing import Any

from returns.result import Result, Success

from finchswitch.configuration.check import read_configuration
from finchswitch.configuration.model import Configuration

__all__ = ["ConfigurationReader"]


class ConfigurationReader:
    def __init__(self) -> None:
        self._before: tuple[Any, Configuration] | None = None

    def read(self, raw: Any) -> Result[Configuration, list[str]]:
        """Read and check plain JSON; entries that are the very objects of the last valid one are not read again."""
        result = read_configuration(raw, self._before)
        if isinstance(result, Success):
            self._before = (raw, result.unwrap())
        return result
