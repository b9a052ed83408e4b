#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves out the disruption. Needs target/ and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/build/case3 ] || exit 2
timeout --kill-after=2 115 review/build/case3 review/3/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
