#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
timeout -s INT -k 5 115 python3 "$(dirname "$0")/case.py"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
