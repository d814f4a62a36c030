"""Slopes: what each repeated act of the fleet costs in bytes, processor time and memory, as a line over its size.

Each subject does one act with the planes' own objects, at a few sizes, and gives its quantities by name; the unit ends
the name. A line is fitted through the sizes. Processor time is this process's own, the least of a few batches, so that
a busy machine hardly shows in it. ``docs/CAPACITY.md`` works with these lines.
"""

import os
import platform
import statistics
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import anyio

__all__ = ["Quantities", "Subject", "fit", "measure_slopes", "timed_awaited_us", "timed_us"]

Quantities = dict[str, float]
Measure = Callable[[int, float], Awaitable[Quantities]]
_BATCHES = 3


@dataclass(frozen=True)
class Subject:
    """One act, what of it is varied, and how much; ``measure(size, effort_ms)`` does it."""

    name: str
    by: str
    sizes: tuple[int, ...]
    measure: Measure


def timed_us(act: Callable[[], Any], effort_ms: float) -> float:
    """Processor microseconds of one act: the least of a few batches, each of at least so much processor time."""
    return min(_batch_us(act, effort_ms) for _ in range(_BATCHES))


def _batch_us(act: Callable[[], Any], effort_ms: float) -> float:
    done, began_s = 0, time.process_time()
    while True:
        act()
        done += 1
        took_s = time.process_time() - began_s
        if took_s * 1000 >= effort_ms:
            return took_s * 1e6 / done


async def timed_awaited_us(act: Callable[[], Awaitable[Any]], effort_ms: float) -> float:
    """The same for an act that is awaited; whatever else this process does meanwhile counts too."""
    least_us = float("inf")
    for _ in range(_BATCHES):
        done, began_s, took_s = 0, time.process_time(), 0.0
        while not done or took_s * 1000 < effort_ms:
            await act()
            done, took_s = done + 1, time.process_time() - began_s
        least_us = min(least_us, took_s * 1e6 / done)
    return least_us


def fit(points: list[tuple[int, float]]) -> dict[str, float]:
    """The line through the points, and how much of their spread it explains.

    >>> fit([(1, 5.0), (2, 7.0), (3, 9.0)])
    {'intercept': 3.0, 'slope': 2.0, 'explained': 1.0}
    >>> fit([(1, 5.0), (2, 5.0)])
    {'intercept': 5.0, 'slope': 0.0, 'explained': 1.0}
    """
    sizes, values = [float(size) for size, _ in points], [value for _, value in points]
    slope, intercept = statistics.linear_regression(sizes, values)
    flat = min(values) == max(values)
    explained = 1.0 if flat else statistics.correlation(sizes, values) ** 2
    return {"intercept": round(intercept, 4), "slope": round(slope, 6), "explained": round(explained, 4)}


async def _measure(subjects: list[Subject], effort_ms: float) -> dict[str, Any]:
    shown: dict[str, Any] = {}
    for subject in subjects:
        found = [(size, await subject.measure(size, effort_ms)) for size in subject.sizes]
        lines = {}
        for name in found[0][1]:
            points = [(size, round(quantities[name], 3)) for size, quantities in found]
            lines[name] = {**fit(points), "points": [list(point) for point in points]}
        shown[subject.name] = {"by": subject.by, "lines": lines}
    return shown


def measure_slopes(subjects: list[Subject], effort_ms: float) -> dict[str, Any]:
    """All subjects, and where they were measured."""
    where = {"python": platform.python_version(), "system": platform.platform(), "cores": os.cpu_count()}
    return {"where": where, "subjects": anyio.run(_measure, subjects, effort_ms, backend="trio")}
