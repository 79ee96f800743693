#!/usr/bin/env bash
# Checks format and runs the linter over what setup.sh has built.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/check-wire-names.sh
git ls-files 'Source/*.cpp' 'Source/*.h' 'platform/*.cpp' 'platform/*.h' 'Tests/*.cpp' 'Tests/*.h' \
  'Benchmarks/*.cpp' \
  | xargs clang-format --dry-run -Werror
git ls-files 'Source/*.cpp' 'platform/*.cpp' | xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet
