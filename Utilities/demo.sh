#!/usr/bin/env bash
# Installs, builds and runs the demonstration; further words go to 'jacinthroad demo'.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/setup.sh
exec build/jacinthroad demo "$@"
