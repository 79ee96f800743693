#!/usr/bin/env bash
# Installs the build dependencies, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/setup.sh
exec ctest --test-dir build --output-on-failure -j 2
