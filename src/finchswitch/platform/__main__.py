"""``python -m finchswitch.platform transit`` starts a program as ``deploy/launch.py`` does from a checkout."""

from finchswitch.programs.signals import process_signals

process_signals()  # before the large imports

from finchswitch.platform.programs import main  # noqa: E402

process_signals().end_process(main())
