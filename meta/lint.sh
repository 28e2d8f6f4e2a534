#!/usr/bin/env bash
# Checks format and lint of all sources. Usage: meta/lint.sh [--fix]
# clang-tidy needs the compile commands of a build in build/.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t sources < <(git ls-files --cached --others --exclude-standard -- '*.cpp' '*.hpp')
if [ "${1:-}" = --fix ]; then
    clang-format -i "${sources[@]}"
else
    clang-format --dry-run -Werror "${sources[@]}"
fi
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep -E '^(libraries|services|utilities)/.*\.cpp$')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet 2>/dev/null
echo "format and lint: clean"
