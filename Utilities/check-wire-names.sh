#!/usr/bin/env bash
# Rejects protocol names of the users' platform in Source/. Only platform/ and its tests use them.
set -euo pipefail
cd "$(dirname "$0")/.."
# X-Request-Id isn't in the list because jacinthroad's own interface has a header of that name.
names='X-Deadline-Ms|X-Prompt-Prefix|X-Response-Stamp|X-Tenant|X-Expect-Instance'
names+='|X-Expect-Version|X-Instance-Load|X-Instance-Id|X-Not-Run|X-Token-Counts|X-Cache-Salt'
names+='|X-Request-Priority|X-Kv-|Kv-From|X-Weight-Versions|X-Pin-Ms|X-Hold|X-Length-Hint|Wait-Ms'
names+='|"/-/|pathPrefix|trafficSplit|targetLatencyMs|targetGapMs|maxAttempts|allowAnonymous|apiKeys'
names+='|maxConnections|kvStoreAddr|kvCapacityTokens|slotCount|coldLeftMs|fenceToken|opKind'
names+='|currentRev|hasMore|allowStale|finalizers|kv-events|kv-list|Store-Era'
if git grep -nE "$names" -- Source; then
  echo "error: the lines above use platform protocol names; translate them in platform/ instead" >&2
  exit 1
fi
echo "wire names: none in Source/"
