"""``python -m finchswitch`` is the same as the command ``finchswitch``."""

from finchswitch.programs.cli import main

main()
