#!/usr/bin/env bash
# Checks names and formatting, and runs clang-tidy. Needs the build directory that setup.sh creates.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/check-wire-names.sh
Utilities/check-type-names.sh
git ls-files 'Source/*.cpp' 'Source/*.h' 'platform/*.cpp' 'platform/*.h' 'Tests/*.cpp' 'Tests/*.h' \
  'Benchmarks/*.cpp' \
  | xargs clang-format --dry-run -Werror
# clang 14 supports coroutines but doesn't define the macros that libstdc++ and Asio check.
coroutines=(--extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1
  --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1)
git ls-files 'Source/*.cpp' 'platform/*.cpp' \
  | xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet "${coroutines[@]}"
