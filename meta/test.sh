#!/usr/bin/env bash
# Installs what is needed, builds, and runs all tests. Usage: meta/test.sh [--sanitize]
set -euo pipefail
cd "$(dirname "$0")/.."

meta/install.sh
meta/build.sh "$@"
directory=build
if [ "${1:-}" = --sanitize ]; then
    directory=build-sanitize
fi

# Tests listed in KNOWN-RED.txt fail because of a real fault with an open issue. Each entry starts
# with "test: NAME"; they are printed and left out.
excluded=""
if [ -f KNOWN-RED.txt ]; then
    cat KNOWN-RED.txt
    excluded=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|' -)
fi
options=()
if [ -n "$excluded" ]; then
    options+=(--exclude-regex "^($excluded)\$")
fi
ctest --test-dir "$directory" --output-on-failure --parallel 4 "${options[@]}"
