#!/usr/bin/env bash
# Installs the compilers, tools and libraries that the project needs on Debian 12. Needs root.
set -euo pipefail

packages=(
    build-essential cmake ninja-build ccache pkg-config clang-format clang-tidy curl
    ca-certificates libssl-dev zlib1g-dev libh2o-evloop-dev libjsonrpccpp-dev libjsoncpp-dev
    prometheus-cpp-dev libcxxopts-dev libspdlog-dev libfmt-dev libabsl-dev libcriterion-dev
    librapidcheck-dev libxxhash-dev
)

missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
        missing+=("$package")
    fi
done
if [ "${#missing[@]}" -gt 0 ]; then
    export DEBIAN_FRONTEND=noninteractive
    apt-get update -qq
    apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi
