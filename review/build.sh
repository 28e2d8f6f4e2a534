#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review/. All cases use the sources in review/1/standins/.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -I review/1/standins "$source" \
        -o "target/review/case-$number"
done
