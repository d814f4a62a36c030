"""The signals of a program, from its first line to its last.

A signal without a handler has the operating system's meaning, which for most signals is the end of the process. So the
handlers stand from the first line on, before anything large is imported, and nothing takes them away again: what comes
before the program listens is kept for it, and what comes when it no longer does means nothing. ``docs/operators.md``
has the meaning of each signal in each phase.

This module is imported first of all and so imports little.
"""

import os
import signal
import sys
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager
from functools import cache
from typing import TYPE_CHECKING, Any, NoReturn

if TYPE_CHECKING:
    from finchswitch.lifecycle import Lifecycle

__all__ = ["HeldSignals", "follow_signals", "process_signals"]

_HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_WITHOUT_MEANING = (signal.SIGUSR1, signal.SIGUSR2)


class HeldSignals:
    """The handlers of this process, and the signals that nothing has listened to yet."""

    def __init__(self) -> None:
        self._kept: list[int] = []

    def install(self) -> None:
        """Set the handlers; only the main thread may."""
        for number in _HANDLED:
            signal.signal(number, self._keep)
        for number in _WITHOUT_MEANING:
            signal.signal(number, signal.SIG_IGN)

    def _keep(self, number: int, _frame: Any) -> None:
        self._kept.append(number)

    @contextmanager
    def listening(self) -> Iterator[AsyncIterator[signal.Signals]]:
        """The signals as they come, those that were kept first."""
        import anyio

        with anyio.open_signal_receiver(*_HANDLED) as received:
            kept, self._kept = self._kept, []
            for number in kept:
                signal.raise_signal(number)
            yield received

    def end_process(self, code: int) -> NoReturn:
        """End with this exit code at once: the interpreter's own clean-up takes a good part of a grace time's end."""
        self.discard()
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(code)

    def discard(self) -> None:
        """From now on signals mean nothing, also while the interpreter ends and takes its handlers away."""
        for number in _HANDLED:
            signal.signal(number, signal.SIG_IGN)


@cache
def process_signals() -> HeldSignals:
    """The one set of handlers of this process, installed by the first call."""
    held = HeldSignals()
    held.install()
    return held


async def follow_signals(
    received: AsyncIterator[signal.Signals], lifecycle: "Lifecycle", reload: Callable[[], None]
) -> None:
    """Act on every signal until cancelled: SIGHUP reloads, the others ask for a stop; asked again, nothing changes."""
    async for number in received:
        lifecycle.received(number)
        if number is signal.SIGHUP:
            reload()
        else:
            lifecycle.stop_asked.set()
