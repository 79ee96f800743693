#!/usr/bin/env bash
# Case 5: copies-of-deadly-request. Needs the build of the deploy file and review/build.sh. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/jacinthroad ] || [ ! -x target/review/cases ]; then
  echo "build first: the build command of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
record=review/5/record.txt
timeout --kill-after=5 110 target/review/cases copies-of-deadly-request "$folder" "$record"
result=$?
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
