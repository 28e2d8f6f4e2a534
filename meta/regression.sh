#!/usr/bin/env bash
# Plays the standard days of deployments on the users' bench and prints one table: for each day its
# worth, the shares served, refused and failed, and the gate of its site.
#
# Usage: meta/regression.sh BENCH SITES [JOBS]
# BENCH is the bench's program and SITES the directory that holds the folders of site files; JOBS is
# the number of days played at once, 3 by default. The output of each score is kept in build/.
set -euo pipefail
cd "$(dirname "$0")/.."

bench=$1
sites=$2
jobs=${3:-3}
mkdir -p build
printf '%-22s %-12s %6s %7s %8s %7s\n' site day worth served refused failed
for site in further/tisza-stitch further-grown/tisza-stitch-grown grown/sandshare-grown \
    grown/penpost-qld-grown large/sandshare-large; do
    name=${site##*/}
    log=build/regression-$name.log
    "$bench" score "$sites/$site.toml" --jobs "$jobs" --why "regression of $(git rev-parse --short HEAD)" \
        >"$log" 2>&1 || true
    # A row of a day: name, own/servers, score, worth, served, refused, failed, remarks.
    awk -v site="$name" '$2 ~ /^[0-9]+\/[0-9]+$/ {
        printf "%-22s %-12s %6s %7s %8s %7s\n", site, $1, $4, $5, $6, $7 }' "$log"
    grep -E '^GATE|broke' "$log" || echo "no result, see $log"
done
