#!/usr/bin/env bash
# Runs a short part of the tests under the address and undefined behaviour sanitizers: what parses,
# counts or calls back, and the gateway as a process. Tests of memory and of time are left out, because
# the sanitizers need much of both. All tests: meta/test.sh --sanitize.
set -euo pipefail
cd "$(dirname "$0")/.."

libraries=(core http http1 forwarding platform prepaid crash_quarantine)
processes=(gateway_memory gateway_stop gateway_upstream_faults)
tests=("${libraries[@]}" "${processes[@]}")
meta/build.sh --sanitize almondcart-gateway almondcart-relay almondcart-soak "${tests[@]/#/test_}"
names=$(printf '%s|' "${libraries[@]}")
slow_client='gateway_memory\.(a_client_that_reads_slowly_gets_its_whole_stream|bytes_that_are_no_events_end_a_stream)'
export LSAN_OPTIONS="suppressions=$PWD/meta/lsan.supp:print_suppressions=0"
ctest --test-dir build-sanitize --output-on-failure --parallel 4 --no-tests=error \
    --tests-regex "^(${names}${slow_client}|gateway_stop\..*|gateway_upstream_faults\..*|soak\.seed_1)\$"
