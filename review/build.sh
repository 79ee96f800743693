#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
read -r -a json <<< "$(pkg-config --cflags --libs jsoncpp)"
g++ -std=c++20 -O1 -g -Wall -Wextra -pthread review/standin/*.cpp -o target/review/cases "${json[@]}"
