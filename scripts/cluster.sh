#!/bin/bash
# Functions that start a small deployment on loopback: stand-ins for platform and backend servers,
# and four entry nodes in three availability zones. Sourced by demo.sh and bench.sh.
#
# Settings, as variables: SHARDS, REPLICAS, SLOTS, SERVICE_TIME, JITTER, RECORDS, WARM_UP, BASE_PORT,
# LOOPS, STANDIN_THREADS.

SHARDS=${SHARDS:-12}
REPLICAS=${REPLICAS:-2}
SLOTS=${SLOTS:-3}
SERVICE_TIME=${SERVICE_TIME:-2ms}
RECORDS=${RECORDS:-100000}
# Below the range from which the kernel takes ports of outgoing connections.
BASE_PORT=${BASE_PORT:-$((12000 + ($$ % 40) * 500))}
JITTER=${JITTER:-1ms}
WARM_UP=${WARM_UP:-500ms}
STANDIN_THREADS=${STANDIN_THREADS:-2}
LOOPS=${LOOPS:-2}
BIN=${BIN:-build/release}
ZONES=(bogota-a bogota-b bogota-c)
NODE_ZONES=(bogota-a bogota-b bogota-c bogota-a)
PIDS=()

standin_port() { echo $((BASE_PORT + 1)); }
platform_port() { echo $((BASE_PORT + 2)); }
callers_port() { echo $((BASE_PORT + 10 + $1)); }
operators_port() { echo $((BASE_PORT + 20 + $1)); }
peers_port() { echo $((BASE_PORT + 30 + $1)); }
backend_port() { echo $((BASE_PORT + 100 + $1)); }

# Writes the declaration and the settings of all processes to the directory $1.
write_settings() {
  local dir=$1 size=$(((1 << 32) / SHARDS)) shard replica index=0 low high zone
  {
    echo "zones:"
    for zone in "${ZONES[@]}"; do echo "  - {name: $zone, region: bogota}"; done
    echo "services:"
    echo "  - name: accessions"
    echo "    customer: semillero"
    echo "    warm_up: $WARM_UP"
    echo "    backend_defaults: {slots: $SLOTS, cold_slots: 1, connections: 30}"
    echo "    backends:"
  } >"$dir/declaration.yaml"
  {
    echo "threads: $STANDIN_THREADS"
    echo "control: 127.0.0.1:$(standin_port)"
    echo "platform: {endpoint: \"127.0.0.1:$(platform_port)\"}"
    echo "defaults: {slots: $SLOTS, connections: 30, connect_cost: 6ms," \
      "service_time: $SERVICE_TIME, service_jitter: $JITTER, records: $RECORDS," \
      "starts_cold: true, cold_calls: 20}"
    echo "backends:"
  } >"$dir/standin.yaml"
  for ((shard = 0; shard < SHARDS; ++shard)); do
    low=$((shard * size))
    high=$(((shard + 1) * size))
    ((shard == SHARDS - 1)) && high=$((1 << 32))
    for ((replica = 0; replica < REPLICAS; ++replica)); do
      zone=${ZONES[$(((shard + replica) % 3))]}
      echo "      - {name: s$shard-r$replica, zone: $zone," \
        "address: \"127.0.0.1:$(backend_port $index)\"}" >>"$dir/declaration.yaml"
      echo "  - {name: s$shard-r$replica, endpoint: \"127.0.0.1:$(backend_port $index)\"," \
        "seed: $((index + 1)), versions: {1: [\"$low-$high\"]}}" >>"$dir/standin.yaml"
      index=$((index + 1))
    done
  done
  {
    echo "fronts:"
    echo "  - {name: accessions, service: accessions, default_deadline: 1s," \
      "objective: {latency: 70ms, latency_ratio: 0.99, coverage_ratio: 0.999}}"
  } >>"$dir/declaration.yaml"
  echo "demo-operator-token-0001" >"$dir/token"
  local node
  for node in 0 1 2 3; do
    cat >"$dir/node-$node.yaml" <<YAML
node: entry-$node
zone: ${NODE_ZONES[$node]}
loops: $LOOPS
log_level: warning
callers: {listen: "127.0.0.1:$(callers_port $node)"}
operators: {listen: "127.0.0.1:$(operators_port $node)", token_file: token}
peers:
  listen: "127.0.0.1:$(peers_port $node)"
  key_id: 1
  key: demo-peer-key-0123456789abcdef
  seeds: ["127.0.0.1:$(peers_port 0)", "127.0.0.1:$(peers_port 1)"]
store: 127.0.0.1:$(platform_port)
drain_time: 500ms
YAML
  done
}

start_node() {
  "$BIN/damaskrouted" --settings="$1/node-$2.yaml" 2>>"$1/node-$2.log" &
  NODE_PIDS[$2]=$!
  PIDS+=($!)
}

start_standins() {
  "$BIN/damask_standin" --settings="$1/standin.yaml" 2>>"$1/standin.log" &
  PIDS+=($!)
}

# Operators' command on node $NODE, node 0 by default.
ctl() {
  "$BIN/damaskctl" --endpoint="127.0.0.1:$(operators_port "${NODE:-0}")" \
    --callers-endpoint="127.0.0.1:$(callers_port "${NODE:-0}")" \
    --token-file="$CLUSTER_DIR/token" "$@"
}

callers_list() {
  echo "127.0.0.1:$(callers_port 0),127.0.0.1:$(callers_port 1),127.0.0.1:$(callers_port 2),127.0.0.1:$(callers_port 3)"
}

# Waits until every node answers a query with full coverage, at most 30 s.
wait_ready() {
  local attempt node ready
  for ((attempt = 0; attempt < 300; ++attempt)); do
    ready=0
    for node in 0 1 2 3; do
      if curl -s -m 2 -X POST "http://127.0.0.1:$(callers_port $node)/v1/fronts/accessions/query" \
        -H 'Content-Type: application/json' -d '{"query":{"limit":1}}' | grep -q '"partial":false'; then
        ready=$((ready + 1))
      fi
    done
    ((ready == 4)) && return 0
    sleep 0.1
  done
  echo "the deployment is not ready; logs are in $CLUSTER_DIR" >&2
  return 1
}

# Sends a control message to all backend stand-ins.
control_all() {
  curl -s -f -m 5 -X POST "http://127.0.0.1:$(standin_port)/control" -d "$1" >/dev/null
}

# Sends the control message $2 to the backend stand-in $1.
control_one() {
  curl -s -f -m 5 -X POST "http://127.0.0.1:$(standin_port)/$1/control" -d "$2" >/dev/null
}

# Names of the backend servers in the zone with index $1 in ZONES.
backends_in_zone() {
  local shard replica
  for ((shard = 0; shard < SHARDS; ++shard)); do
    for ((replica = 0; replica < REPLICAS; ++replica)); do
      (((shard + replica) % 3 == $1)) && echo "s$shard-r$replica"
    done
  done
  return 0
}

# Sum of a counter over all backend stand-ins.
standin_sum() {
  curl -s -m 5 "http://127.0.0.1:$(standin_port)/control/stats" |
    grep -o "\"$1\":[0-9]*" | cut -d: -f2 | paste -sd+ | bc
}

stop_cluster() {
  local pid
  for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
}

start_cluster() {
  CLUSTER_DIR=$1
  NODE_PIDS=()
  write_settings "$CLUSTER_DIR"
  start_standins "$CLUSTER_DIR"
  local node attempt
  for ((attempt = 0; attempt < 300; ++attempt)); do
    curl -s -m 2 "http://127.0.0.1:$(platform_port)/vms" >/dev/null && break
    sleep 0.1
  done
  for node in 0 1 2 3; do start_node "$CLUSTER_DIR" $node; done
}
