#!/usr/bin/env bash
# Two types of one name in one program share their inline functions: the linker keeps those of either.
set -euo pipefail
cd "$(dirname "$0")/.."
twice=$(git ls-files 'Source/*.h' \
  | xargs grep -hoE '^(struct|class|union) [A-Za-z0-9]+( final)?( : .*)?$' \
  | awk '{ print $2 }' | sort | uniq -d)
if [ -n "$twice" ]; then
  echo "type names defined in more than one header of Source/:" >&2
  for name in $twice; do
    git ls-files 'Source/*.h' | xargs grep -nE "^(struct|class|union) $name( final)?( : .*)?\$" >&2
  done
  exit 1
fi
echo "type names: each is defined once"
