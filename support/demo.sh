#!/usr/bin/env bash
# Builds spokesail, starts two data halls on loopback, sends one streamed
# completion and one call to a plain service, and stops all processes.
set -euo pipefail
cd "$(dirname "$0")/.."
support/setup.sh
cmake --preset release >/dev/null
cmake --build --preset release >/dev/null

SPOKESAIL_BIN=$PWD/build/release
work=$(mktemp -d)
source support/cluster.sh
trap 'stop_all; rm -rf "$work"' EXIT
began=$(date +%s%N)

echo "== start: a platform, 2 halls, 4 entry hosts, 12 engines, 2 services"
start_cluster "$work"
wait_until 10 curl -sf "http://$platform/apis/spokesail/v1/host"

echo "== apply example/config"
wait_until 10 curl -sf "http://${entry[north-1]}/healthz"
"$bin/spokesail" apply --f=example/config --platform="$platform" \
  --node="${entry[north-1]}" --operator_name=demo

echo "== wait until the groups serve"
for node in north-1 north-2 south-1 south-2; do
  wait_until 20 has_open_groups $node 2 ||
    { echo "demo: fewer than 2 open groups on $node after 20 s"; exit 1; }
  wait_until 5 curl -sf "http://${entry[$node]}/readyz"
done
"$bin/spokesail" status --node="${entry[north-1]}"

echo "== a streamed completion, through north-1"
curl -sfN "http://${entry[north-1]}/v1/chat/completions" \
  -H 'X-Spokesail-Workspace: billing' \
  -d '{"model":"review","stream":true,"max_tokens":5,
       "messages":[{"role":"user","content":"Review this change."}]}' |
  tee "$work/answer"
grep -q 'data: \[DONE\]' "$work/answer"

echo "== a plain service, through south-2"
curl -sf "http://${entry[south-2]}/services/status/badge/42" \
  -H 'X-Spokesail-Workspace: enrolment' | tee "$work/badge"
grep -q '"path":"/badge/42"' "$work/badge"
echo
echo "== audit trail"
"$bin/spokesail" audit --platform="$platform" | head -5
echo "took $((($(date +%s%N) - began) / 1000000)) ms after the build"
echo "demo: ok"
