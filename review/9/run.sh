#!/usr/bin/env bash
# Plays this case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
for program in target/services/almondcart-gateway target/services/almondcart-relay target/review-2/long_name; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: build the deploy file, then run review/build-2.sh" >&2
        exit 2
    fi
done
timeout --signal=KILL 118 target/review-2/long_name "$here/record.txt"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
