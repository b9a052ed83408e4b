# Shell functions that run a small cluster of separate processes on loopback;
# sourced by capacity.sh, demo.sh, faults.sh and overhead.sh. They call stop_all
# at their end, which stops each process by its id.
#
#   start_cluster DIR   starts a platform and two data halls, each with two
#                       entry hosts, six engines in two domains and one plain
#                       service
#
# Uses the ports from $base_port on. Sets pids[NAME], platform, entry[NAME] and
# engine[NAME].

base_port=${SPOKESAIL_BASE_PORT:-21000}
bin=${SPOKESAIL_BIN:?}
declare -A pids entry engine

# start NAME COMMAND...: runs a command in the background, with its output in a
# log file.
start() {
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

stop_all() {
  local name
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null || true
    kill -TERM "${pids[$name]}" 2>/dev/null || true
  done
  for _ in $(seq 50); do
    local left=0
    for name in "${!pids[@]}"; do
      kill -0 "${pids[$name]}" 2>/dev/null && left=1
    done
    [ $left -eq 0 ] && break
    sleep 0.1
  done
  for name in "${!pids[@]}"; do
    kill -KILL "${pids[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}

host_object() { # NAME PORT HALL DOMAIN SERVICE CHECKS_FENCING
  printf '{"kind":"host","metadata":{"name":"%s"},"spec":{"address":"127.0.0.1:%s","hall":"%s","domain":"%s","accelerators":8,"service":"%s","checks_fencing":%s,"state":"live"}}\n' "$@"
}

settings_file() { # NAME HALL HTTP_PORT PEER_PORT
  cat <<YAML
name: $1
hall: $2
http_address: 127.0.0.1:$3
peer_address: 127.0.0.1:$4
platform:
  address: $platform
peers:
$(for hall in north south; do for i in 1 2; do
    echo "  - {hall: $hall, address: 127.0.0.1:$(peer_port $hall $i)}"
  done; done)
limits:
  connections: 256
timing:
  stop_delay_ms: 500
YAML
}

hall_index() { [ "$1" = north ] && echo 0 || echo 1; }
http_port() { echo $((base_port + 100 + $(hall_index "$1") * 10 + $2)); }
peer_port() { echo $((base_port + 200 + $(hall_index "$1") * 10 + $2)); }
engine_port() { echo $((base_port + 300 + $(hall_index "$1") * 20 + $2)); }

start_engine() { # HALL INDEX
  local name=$1-e$2 checks=true
  [ "$2" -gt 3 ] && checks=false
  engine[$name]=127.0.0.1:$(engine_port "$1" "$2")
  start "$name" "$bin/standin-engine" --port="$(engine_port "$1" "$2")" \
    --checks_fencing=$checks --name="$name" --log="$work/$name.jsonl"
}

start_entry() { # HALL INDEX
  local name=$1-$2
  entry[$name]=127.0.0.1:$(http_port "$1" "$2")
  settings_file "$name" "$1" "$(http_port "$1" "$2")" \
    "$(peer_port "$1" "$2")" >"$work/$name.yaml"
  start "$name" "$bin/spokesail" serve --settings="$work/$name.yaml"
}

start_cluster() { # DIR
  work=$1
  platform=127.0.0.1:$base_port
  mkdir -p "$work"
  : >"$work/hosts.seed"
  local hall i domain checks
  for hall in north south; do
    for i in 1 2 3 4 5 6; do
      domain=$hall-$([ "$i" -le 3 ] && echo a || echo b)
      checks=$([ "$i" -le 3 ] && echo true || echo false)
      host_object "$hall-e$i" "$(engine_port $hall $i)" $hall "$domain" "" \
        "$checks" >>"$work/hosts.seed"
    done
    host_object "$hall-status" "$(engine_port $hall 9)" $hall "$hall-a" status \
      false >>"$work/hosts.seed"
  done
  start platform "$bin/standin-platform" --port="$base_port" \
    --seed="$work/hosts.seed" --log="$work/platform.jsonl"
  for hall in north south; do
    for i in 1 2 3 4 5 6; do start_engine $hall $i; done
    engine[$hall-status]=127.0.0.1:$(engine_port $hall 9)
    start "$hall-status" "$bin/standin-engine" --service=status \
      --name="$hall-status" --log="$work/$hall-status.jsonl" \
      --port="$(engine_port $hall 9)"
    for i in 1 2; do start_entry $hall $i; done
  done
}

# wait_until SECONDS COMMAND...: polls until the command succeeds.
wait_until() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -ge $end ] && return 1
    sleep 0.2
  done
}

open_groups() { # NODE
  "$bin/spokesail" status --node="${entry[$1]}" | grep -c '^group .* open' || true
}

has_open_groups() { # NODE COUNT
  [ "$(open_groups "$1")" -ge "$2" ]
}
