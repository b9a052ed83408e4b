#!/usr/bin/env bash
# Measures the cost of control work per node on loopback, without load, for
# systems from 3 nodes and 5 hosts up to a data hall of the target size (57
# nodes and 86 hosts). Usage:
#
#   support/capacity.sh [NODES:HOSTS...]
#
# Prints for each size the control traffic, processor time and memory of a node
# (medians over all nodes) and the platform calls per second of all nodes
# together.
set -euo pipefail
cd "$(dirname "$0")/.."
SPOKESAIL_BIN=$PWD/build/release
seconds=${SECONDS_MEASURED:-10}
source support/cluster.sh
trap stop_all EXIT

metric() { # NODE NAME: prints the sum of a metric over its labels
  curl -sf "http://${entry[$1]}/metrics" |
    awk -v m="$2" '$1 ~ "^"m {s += $2} END {printf "%.0f\n", s}'
}
cpu_ticks() { awk '{print $14 + $15}' "/proc/${pids[$1]}/stat"; }
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/${pids[$1]}/status"; }
median() { sort -n | awk '{a[NR] = $1} END {print a[int((NR + 1) / 2)]}'; }

node_settings() { # INDEX COUNT
  cat <<YAML
name: n$1
hall: north
http_address: 127.0.0.1:$((base_port + 1000 + $1))
peer_address: 127.0.0.1:$((base_port + 2000 + $1))
platform: {address: $platform}
peers:
$(for i in $(seq "$2"); do
    echo "  - {hall: north, address: 127.0.0.1:$((base_port + 2000 + i))}"
  done)
YAML
}

measure() { # NODES HOSTS
  local nodes=$1 hosts=$2 i
  work=$(mktemp -d)
  pids=()
  entry=()
  platform=127.0.0.1:$base_port
  for i in $(seq "$hosts"); do
    host_object "h$i" $((base_port + 300 + i % 4)) north "d$((i / 16))" "" true
  done >"$work/hosts.seed"
  start platform "$bin/standin-platform" --port="$base_port" \
    --seed="$work/hosts.seed"
  for i in 0 1 2 3; do
    start "engine$i" "$bin/standin-engine" --port=$((base_port + 300 + i))
  done
  for i in $(seq "$nodes"); do
    node_settings "$i" "$nodes" >"$work/n$i.yaml"
    entry[n$i]=127.0.0.1:$((base_port + 1000 + i))
    start "n$i" "$bin/spokesail" serve --settings="$work/n$i.yaml"
  done
  wait_until 10 curl -sf "http://$platform/apis/spokesail/v1/host"
  # Several hosts share one stand-in engine, so no model is placed on them.
  mkdir "$work/config"
  cp example/config/workspaces.yaml "$work/config"
  "$bin/spokesail" apply --f="$work/config" --platform="$platform" \
    >"$work/apply.out"
  sleep 5
  local calls0 calls1
  calls0=$(curl -sf "http://$platform/standin/calls" | tr -c '0-9\n' '\n' | awk '{s += $1} END {print s}')
  for i in $(seq "$nodes"); do
    echo "n$i $(metric "n$i" spokesail_control_bytes_total) $(cpu_ticks "n$i")"
  done >"$work/before"
  local began ended
  began=$(date +%s%N)
  sleep "$seconds"
  ended=$(date +%s%N)
  for i in $(seq "$nodes"); do
    echo "$(metric "n$i" spokesail_control_bytes_total) $(cpu_ticks "n$i") $(rss_kb "n$i")"
  done >"$work/after"
  calls1=$(curl -sf "http://$platform/standin/calls" | tr -c '0-9\n' '\n' | awk '{s += $1} END {print s}')
  paste "$work/before" "$work/after" |
    awk -v ns="$((ended - began))" '{s = ns / 1e9;
      print ($4 - $2) / s > "'"$work"'/bytes";
      print ($5 - $3) / s > "'"$work"'/cpu";
      print $6 / 1024 > "'"$work"'/rss"}'
  local ready=0
  for i in $(seq "$nodes"); do
    curl -sf "http://${entry[n$i]}/readyz" >/dev/null && ready=$((ready + 1))
  done
  printf '%5s %5s %5s %12.0f %8.2f %8.1f %14.2f\n' "$nodes" "$hosts" "$ready" \
    "$(median <"$work/bytes")" "$(median <"$work/cpu")" \
    "$(median <"$work/rss")" \
    "$(echo "($calls1 - $calls0) / $seconds" | bc -l 2>/dev/null ||
      awk "BEGIN {print ($calls1 - $calls0) / $seconds}")"
  stop_all
  rm -rf "$work"
}

printf '%5s %5s %5s %12s %8s %8s %14s\n' nodes hosts ready bytes/s cpu% \
  rss_MB platform_calls/s
for size in ${*:-3:5 6:9 12:18 24:36 57:86}; do
  measure "${size%:*}" "${size#*:}"
done
