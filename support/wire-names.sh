#!/usr/bin/env bash
# Checks that names of the platform's wire protocol do not occur in include/,
# src/, example/ and model/. They belong in platform/, deploy/, the stand-ins
# and the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-Request-Id|X-Deadline-Ms|X-Tenant|X-Expect-Instance|X-Not-Executed'
names+='|X-Response-Stamp|X-Model|X-Token-Usage|X-Prompt-Prefix|X-Instance-Id'
names+='|Server-Limit|Server-Leaving|At-Server|Length-Hint|Last-Event-Id|Expect-Version|SPOKESAIL_BOOT'
names+='|/spokesail/(ready|order|report|objects)|expect_rev|cold_left_ms'
names+='|kv_capacity|per_seq_ms|context_per_k|gap_aim_ms|goal_ms|api_keys'
names+='|tenant|Tenant|max_conns|health_path|since_rev|"config/main"'
found=$(git ls-files 'include/*' 'src/*' 'example/*' 'model/*' |
  grep -v '^src/generated/' | xargs grep -nE "$names" || true)
if [ -n "$found" ]; then
  echo "$found"
  echo "wire-names: wire protocol names found outside platform/"
  exit 1
fi
echo "wire-names: ok"
