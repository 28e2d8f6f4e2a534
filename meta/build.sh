#!/usr/bin/env bash
# Configures and builds everything. Usage: meta/build.sh [--sanitize]
set -euo pipefail
cd "$(dirname "$0")/.."

directory=build
options=()
if [ "${1:-}" = --sanitize ]; then
    directory=build-sanitize
    options+=(-DALMONDCART_SANITIZE=ON)
fi
cmake -S . -B "$directory" -G Ninja "${options[@]}" >/dev/null
ninja -C "$directory" --quiet
