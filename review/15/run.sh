#!/usr/bin/env bash
# Runs the case on loopback. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=build-review-3/long_id
[ -x "$program" ] && [ -x target/services/almondcart-gateway ] || exit 2
timeout --kill-after=2 115 "$program" review/15/record.txt
status=$?
((status <= 1)) || exit 2
exit "$status"
