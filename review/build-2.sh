#!/bin/sh
# Builds the stand-ins of cases 6, 7, 8 and 10: they are Python and use the standard library alone, so they are only compiled.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/rig review/6 review/7 review/8 review/10
