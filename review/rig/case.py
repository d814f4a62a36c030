"""The frame of a case: its trouble switch, its exit code, and the end of everything that it started."""

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from fleet import CannotRun, Record

__all__ = ["TROUBLE", "play"]

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_LONGEST_S = 115.0


def play(file: str, scene: Callable[[Record], Awaitable[list[str]]]) -> None:
    """Play a scene, which gives what broke the rule; 1 if anything did, 0 if it held, 2 if it could not be played."""
    record = Record(Path(file).resolve().parent / "record.txt")
    record(f"trouble: {'yes' if TROUBLE else 'no'}")

    async def bounded() -> list[str]:
        async with asyncio.timeout(_LONGEST_S):
            return await scene(record)

    try:
        broken = asyncio.run(bounded())
    except (CannotRun, TimeoutError, OSError) as why:
        record(f"could not run: {why!r}")
        print(f"could not run: {why!r}", file=sys.stderr)
        sys.exit(2)
    for each in broken:
        record(f"BROKEN: {each}")
        print(f"BROKEN: {each}")
    record("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
