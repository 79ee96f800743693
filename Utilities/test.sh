#!/usr/bin/env bash
# Installs, builds and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/setup.sh
exec ctest --test-dir build --output-on-failure -j 2
