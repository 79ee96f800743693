#!/usr/bin/env bash
# Rejects a type name that more than one header of Source/ defines. Two types of the same name in one
# program violate the one-definition rule: the linker keeps the inline functions of only one.
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
echo "type names: no duplicates"
