"""``python -m finchswitch.platform transit`` starts a program as ``deploy/launch.py`` does from a checkout."""

import sys

from finchswitch.platform.programs import main

sys.exit(main())
