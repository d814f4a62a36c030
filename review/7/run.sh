#!/bin/sh
# Plays the case once; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -S -B review/7/case.py
