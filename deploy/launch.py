"""Starts a program on the users' platform from a checkout: ``launch.py transit`` or ``launch.py accord``.

A process is started anew after every kill, and what it imports is time in which nobody is served. So httpx is told that
its own command line is not installed, which would bring in two more libraries.
"""

import sys
from pathlib import Path

sys.modules["httpx._main"] = None  # type: ignore[assignment]
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from finchswitch.programs.signals import process_signals  # noqa: E402

process_signals()  # before the large imports

from finchswitch.platform.programs import main  # noqa: E402

process_signals().end_process(main())
