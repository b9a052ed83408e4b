#!/usr/bin/env bash
# Runs a cluster under load with one or two faults at a time, checks the records
# of each run and prints a table. Usage:
#
#   support/faults.sh [FAULT...]      without arguments: all faults
#
# Each run takes about 20 s.
set -uo pipefail
cd "$(dirname "$0")/.."
SPOKESAIL_BIN=$PWD/build/release
run_seconds=${RUN_SECONDS:-12}
rate=${RATE:-40}
source support/cluster.sh

faults_of_platform() { curl -sf -d "$1" "http://$platform/standin/faults" >/dev/null; }
faults_of_engine() { curl -sf -d "$2" "http://${engine[$1]}/standin/faults" >/dev/null; }

# Prints the entry host that holds the lease of the north hall, or north-1 if
# none reports that it does.
leader() {
  local i
  for i in 1 2; do
    "$bin/spokesail" status --node="${entry[north-$i]}" --output=json |
      grep -q '"leads": true' && echo "north-$i" && return
  done
  echo north-1
}

# member RANK: prints the host of that rank in the first group of the north
# hall.
member() {
  "$bin/spokesail" status --node="${entry[north-1]}" |
    awk -v n="$(($1 + 7))" '/^group/ {split($n, a, "="); print a[1]; exit}'
}

set_host_state() { # NAME STATE
  local object
  object=$(curl -sf "http://$platform/apis/spokesail/v1/host/$1" |
    sed "s/\"state\":\"[a-z]*\"/\"state\":\"$2\"/")
  curl -sf -X PUT -d "$object" \
    "http://$platform/apis/spokesail/v1/host/$1" >/dev/null
}

restart_entry() { start_entry "${1%-*}" "${1#*-}"; }

fault_none() { :; }
fault_engine_kill() { kill -KILL "${pids[$(member 1)]}"; }
fault_leader_engine_kill() { kill -KILL "${pids[$(member 0)]}"; }
fault_engine_pause() {
  local pid=${pids[$(member 1)]}
  kill -STOP "$pid"; sleep 4; kill -CONT "$pid"
}
fault_engine_slow() { faults_of_engine "$(member 0)" '{"slow": 10}'; }
fault_crossed_answers() {
  local host
  for host in "${!engine[@]}"; do faults_of_engine "$host" '{"cross": 5}'; done
}
fault_cut_answers() {
  local host
  for host in "${!engine[@]}"; do faults_of_engine "$host" '{"cut": 5}'; done
}
fault_domain_dark() {
  local i
  for i in 1 2 3; do kill -KILL "${pids[north-e$i]}"; done
}
fault_entry_kill() {
  kill -KILL "${pids[north-2]}"; sleep 2; restart_entry north-2
}
fault_holder_pause() {
  local pid=${pids[$(leader)]}
  kill -STOP "$pid"; sleep 8; kill -CONT "$pid"
}
fault_platform_down() {
  faults_of_platform '{"down": 1}'; sleep 6; faults_of_platform '{"down": 0}'
}
fault_platform_slow() {
  faults_of_platform '{"slow_ms": 700}'; sleep 6
  faults_of_platform '{"slow_ms": 0}'
}
fault_lost_answers() {
  faults_of_platform '{"lose_answers": 6}'
  kill -KILL "${pids[$(member 1)]}"
}
fault_operators_race() {
  local i racers=()
  for i in 1 2 3 4; do
    "$bin/spokesail" apply --f=example/config --platform="$platform" \
      --operator_name="racer$i" >>"$work/race.log" 2>&1 &
    racers+=($!)
  done
  wait "${racers[@]}"
}
fault_host_leaves() { set_host_state "$(member 1)" leaving; }
fault_version_change() {
  sed 's/version: "1"/version: "2"/' example/config/models.yaml \
    >"$work/config/models.yaml"
  "$bin/spokesail" apply --f="$work/config" --platform="$platform" \
    --operator_name=change >>"$work/race.log" 2>&1
}
fault_rolling_restart() {
  local node
  for node in north-1 north-2 south-1 south-2; do
    kill -TERM "${pids[$node]}"
    wait "${pids[$node]}" 2>/dev/null
    restart_entry "$node"
    wait_until 5 curl -sf "http://${entry[$node]}/readyz"
  done
}
fault_platform_down_and_engine_kill() {
  faults_of_platform '{"down": 1}'
  kill -KILL "${pids[$(member 1)]}"
  sleep 5
  faults_of_platform '{"down": 0}'
}
fault_holder_pause_and_engine_kill() {
  local pid=${pids[$(leader)]} victim
  victim=$(member 0)
  kill -STOP "$pid"; kill -KILL "${pids[$victim]}"; sleep 8; kill -CONT "$pid"
}

all_faults=$(declare -F | awk '/ fault_/ {sub("fault_", "", $3); print $3}')
planned="version_change rolling_restart none"
printf '%-32s %8s %8s %8s %8s %8s %6s\n' fault requests answered refused \
  failed lost breach
total=0
for fault in ${*:-$all_faults}; do
  work=$(mktemp -d)
  cp -r example/config "$work/config"
  pids=()
  start_cluster "$work"
  wait_until 10 curl -sf "http://$platform/apis/spokesail/v1/host"
  wait_until 10 curl -sf "http://${entry[south-2]}/healthz"
  "$bin/spokesail" apply --f="$work/config" --platform="$platform" >/dev/null
  for node in north-1 north-2 south-1 south-2; do
    wait_until 20 has_open_groups $node 2
    wait_until 5 curl -sf "http://${entry[$node]}/readyz"
  done
  entries=${entry[north-1]},${entry[north-2]},${entry[south-1]},${entry[south-2]}
  "$bin/spokesail-load" --entries="$entries" --balance --rate="$rate" \
    --seconds="$run_seconds" --workspaces=billing,enrolment \
    --history="$work/load.jsonl" --output=json >"$work/report.json" &
  load=$!
  sleep 2
  "fault_$fault"
  wait $load
  option=""
  case " $planned " in *" $fault "*) option=--planned_only ;; esac
  result=$("$bin/test/history-check" $option "$work"/*.jsonl \
    "$work"/{north,south}-{1,2}.log)
  count() { grep -c "\"outcome\":\"$1\"" "$work/load.jsonl"; }
  breaches=$(echo "$result" | awk '/^requests/ {print $4}')
  printf '%-32s %8s %8s %8s %8s %8s %6s\n' "$fault" \
    "$(wc -l <"$work/load.jsonl")" "$(count answered)" "$(count refused)" \
    "$(count failed)" "$(count lost)" "$breaches"
  echo "$result" | grep '^breach' | head -5
  total=$((total + breaches))
  stop_all
  if [ "$breaches" -gt 0 ] || [ -n "${KEEP:-}" ]; then
    echo "records kept in $work"
  else
    rm -rf "$work"
  fi
done
echo "breaches in all: $total"
[ "$total" -eq 0 ]
