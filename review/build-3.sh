#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into build-review-3/. They need a C++20 compiler and
# nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."

directory=build-review-3
mkdir -p "$directory"
for source in review/1[1-5]/*.cpp; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$directory/$(basename "$source" .cpp)" "$source"
done
