#!/usr/bin/env bash
# Configures and builds everything, or only the named targets. Usage: meta/build.sh [--sanitize] [TARGET...]
set -euo pipefail
cd "$(dirname "$0")/.."

directory=build
options=()
if [ "${1:-}" = --sanitize ]; then
    shift
    directory=build-sanitize
    options+=(-DALMONDCART_SANITIZE=ON)
fi
cmake -S . -B "$directory" -G Ninja "${options[@]}" >/dev/null
ninja -C "$directory" --quiet "$@"
