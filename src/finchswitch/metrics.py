"""A process's figures as text, in the exposition format that Prometheus publishes.

The library is imported with the first reading, as no process needs it to serve.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

__all__ = ["Figure", "exposition", "metrics_route"]

PATH = "/metrics"
MEDIA_TYPE = "text/plain; version=0.0.4"


@dataclass(frozen=True)
class Figure:
    """One figure as it stands now: its name with its unit, what it says, and its value for each label."""

    name: str
    help: str
    values: dict[str, float]
    label: str = ""  # the label's name; empty where there is one value, under an empty key

    @classmethod
    def single(cls, name: str, help: str, value: float) -> "Figure":
        return cls(name, help, {"": value})


@dataclass(eq=False)
class _Collector:
    figures: list[Figure] = field(default_factory=list)

    def collect(self) -> Iterator[Any]:
        from prometheus_client.core import GaugeMetricFamily

        for figure in self.figures:
            family = GaugeMetricFamily(figure.name, figure.help, labels=[figure.label] if figure.label else [])
            for key, value in sorted(figure.values.items()):
                family.add_metric([key] if figure.label else [], value)
            yield family


def exposition(figures: Iterable[Figure]) -> bytes:
    """The figures as text.

    >>> print(exposition([Figure("generation", "Held.", {"creed": 3.0}, "part")]).decode().strip())
    # HELP generation Held.
    # TYPE generation gauge
    generation{part="creed"} 3.0
    """
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(list(figures)))
    return generate_latest(registry)


def metrics_route(source: Any, figures: Any) -> Route:
    """A route that tells the figures of a process: ``figures(source)`` gives them at each reading."""

    async def show(request: Request) -> Response:
        return Response(exposition(figures(source)), media_type=MEDIA_TYPE)

    return Route(PATH, show)
