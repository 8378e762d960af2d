#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
[ -x target-review/endless_bytes ] || exit 2
timeout 115 target-review/endless_bytes review/3/record.txt
CODE=$?
[ "$CODE" -le 1 ] && exit "$CODE"
exit 2
