#!/usr/bin/env bash
# Installs missing build dependencies from Debian and builds everything in build/. Can be run
# repeatedly.
set -euo pipefail
cd "$(dirname "$0")/.."

as_root() {
  if [ "$(id -u)" = 0 ]; then "$@"; else sudo "$@"; fi
}

packages=(
  g++ cmake ninja-build pkg-config clang-format clang-tidy
  libboost-dev libboost-log-dev libboost-program-options-dev libboost-test-dev
  libjsoncpp-dev libmicrohttpd-dev libcurl4-openssl-dev libjsonrpccpp-dev prometheus-cpp-dev
  libexpected-dev libmsgpack-cxx-dev libxxhash-dev libssl-dev libbenchmark-dev python3
)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" > /dev/null 2>&1 || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  as_root apt-get update -q
  DEBIAN_FRONTEND=noninteractive as_root apt-get install -y -q --no-install-recommends "${missing[@]}"
fi

cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build build
