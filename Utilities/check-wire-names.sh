#!/usr/bin/env bash
# The names that the users' platform speaks stand in platform/ and its tests only.
set -euo pipefail
cd "$(dirname "$0")/.."
# X-Request-Id is a header of the product's own interface too.
names='X-Deadline-Ms|X-Prompt-Prefix|X-Response-Stamp|X-Tenant|X-Expect-Instance'
names+='|X-Expect-Version|X-Instance-Load|X-Instance-Id|X-Not-Run|X-Token-Counts|X-Cache-Salt'
names+='|X-Request-Priority|X-Kv-|Kv-From|X-Weight-Versions|X-Pin-Ms|X-Hold|X-Length-Hint|Wait-Ms'
names+='|"/-/|pathPrefix|trafficSplit|targetLatencyMs|targetGapMs|maxAttempts|allowAnonymous|apiKeys'
names+='|maxConnections|kvStoreAddr|kvCapacityTokens|slotCount|coldLeftMs|fenceToken|opKind'
names+='|currentRev|hasMore|allowStale|finalizers|kv-events|kv-list'
if git grep -nE "$names" -- Source; then
  echo "error: the lines above name what only platform/ may know; translate there" >&2
  exit 1
fi
echo "wire names: only platform/ knows them"
