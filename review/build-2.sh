#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. The programs under test come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

cases=(slow_readers late_part lost_balance long_name incomplete_entry)
mkdir -p target/review-2
for name in "${cases[@]}"; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$name" "review/6/standins/$name.cpp" &
done
failed=0
for job in $(jobs -p); do
    wait "$job" || failed=1
done
exit "$failed"
