#!/usr/bin/env bash
# Measures what an entry host adds to latency: in one run, sends the same seeded
# load through an entry host and directly to the engine at the head of a group.
# Also prints the processor time of the entry host.
set -euo pipefail
cd "$(dirname "$0")/.."
SPOKESAIL_BIN=$PWD/build/release
rate=${RATE:-20}
seconds=${RUN_SECONDS:-10}
source support/cluster.sh
work=$(mktemp -d)
trap 'stop_all; rm -rf "$work"' EXIT
start_cluster "$work"
wait_until 10 curl -sf "http://$platform/apis/spokesail/v1/host"
"$bin/spokesail" apply --f=example/config --platform="$platform" >/dev/null
wait_until 20 has_open_groups north-1 2
wait_until 20 has_open_groups north-2 2
line=$("$bin/spokesail" status --node="${entry[north-1]}" | grep -m1 '^group')
group=$(echo "$line" | awk '{print $2}')
incarnation=$(echo "$line" | awk '{print $6}')
leader=$(echo "$line" | awk '{split($7, a, "="); print a[1]}')

load() { # NAME FLAGS...
  local name=$1
  shift
  "$bin/spokesail-load" --rate="$rate" --seconds="$seconds" --seed=7 \
    --service_share=0 --once_share=0 --tokens=64 "$@" --output=json |
    python3 -c "
import json, sys
r = json.load(sys.stdin)
print('%-8s %8d %12.1f %12.1f %14.2f %12.0f' % (
    '$name', r['requests'], r['first_token_ms_p50'], r['first_token_ms_p95'],
    r['worst_gap_ms_p95'], r['tokens'] / $seconds))"
}
cpu() { awk '{print $14 + $15}' "/proc/${pids[north-1]}/stat"; }

printf '%-8s %8s %12s %12s %14s %12s\n' way requests first_p50_ms \
  first_p95_ms worst_gap_p95 tokens/s
load direct --entries="${engine[$leader]}" --direct_group="$group/$incarnation"
before=$(cpu)
load entry --entries="${entry[north-1]}"
after=$(cpu)
echo "processor time of the entry host: $((after - before)) ticks of 10 ms," \
  "control work included"
