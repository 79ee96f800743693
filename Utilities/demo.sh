#!/usr/bin/env bash
# Installs the build dependencies, builds, and runs the demo. Passes its arguments to
# 'jacinthroad demo'.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/setup.sh
exec build/jacinthroad demo "$@"
