#!/bin/bash
# Starts stand-ins, three availability zones and four entry nodes on loopback, applies a
# declaration, runs queries, takes a zone out and back under load, and prints a summary.
set -euo pipefail
cd "$(dirname "$0")/.."
./scripts/install_packages.sh
cmake --preset release >/dev/null
cmake --build --preset release --target damaskrouted damaskctl damask_standin damaskbench \
  damaskroute_node damask_soak
source scripts/cluster.sh
dir=$(mktemp -d)
trap 'stop_cluster; [[ -n "${KEEP:-}" ]] || rm -rf "$dir"' EXIT

echo "== start: $((SHARDS * REPLICAS)) backend servers, 4 entry nodes, 3 zones, $RECORDS records"
start_cluster "$dir"
for ((i = 0; i < 100; ++i)); do ctl status >/dev/null 2>&1 && break; sleep 0.1; done
echo "== apply the declaration"
ctl --format=table --yes apply -f "$dir/declaration.yaml"
ctl --wait=1 status
wait_ready
echo "== one query"
ctl query accessions '{"genus":"Zea","limit":2}' | cut -c1-300
load() { # label duration extra flags
  "$BIN/damaskbench" --targets="$(callers_list)" --front=accessions --query='{"limit":1}' \
    --rate=150 --duration="$2" --deadline=1s --urgent=0.1 --label="$1" "${@:3}"
}
echo "== load without disturbance"
before=$(standin_sum received)
load steady 8s
after=$(standin_sum received)
queries=$(curl -s -H "Authorization: Bearer $(cat "$dir/token")" \
  "http://127.0.0.1:$(operators_port 0)/metrics" | grep -c damaskroute_ || true)
echo "shard calls received in this phase: $((after - before)), metric lines on node 0: $queries"
echo "== zone bogota-b leaves after 4 s and returns after 10 s, under load"
(
  sleep 4
  ctl --format=table --yes --override zone out bogota-b >/dev/null
  sleep 6
  ctl --format=table --yes --override zone back bogota-b >/dev/null
) &
zone_pid=$!
load "zone out and back" 16s --timeline
wait "$zone_pid"
echo "cold overload (calls above a cold limit): $(standin_sum cold_overload)"
echo "== status, history and burn"
ctl status
ctl history
ctl burn

echo "== the nodes of the users' platform, with random faults for 5 s"
build/release/damask_soak --folder="$dir/platform" --seed=1 --seconds=5
