"""Starts a program on the users' platform from a checkout: ``launch.py transit`` or ``launch.py accord``."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from finchswitch.platform.programs import main  # noqa: E402

sys.exit(main())
