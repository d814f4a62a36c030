"""``python -m finchswitch.platform transit`` starts a program as ``deploy/launch.py`` does from a checkout."""

import sys

from finchswitch.programs.signals import process_signals

process_signals()  # before the large imports

from finchswitch.platform.programs import main  # noqa: E402

sys.exit(main())
