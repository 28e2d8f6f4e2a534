#!/usr/bin/env bash
# Runs a short part of the tests under the address and undefined behaviour sanitizers: everything that parses, counts or calls
# back, and the gateway as a process. All tests: meta/test.sh --sanitize.
set -euo pipefail
cd "$(dirname "$0")/.."

tests=(core http http1 forwarding platform prepaid crash_quarantine_cycles gateway_memory gateway_upstream_faults)
meta/build.sh --sanitize almondcart-gateway almondcart-relay almondcart-soak "${tests[@]/#/test_}"
pattern=$(printf '%s|' "${tests[@]/%/(\\..*)?}")
ctest --test-dir build-sanitize --output-on-failure --parallel 4 --tests-regex "^(${pattern}soak\\.seed_1)\$"
