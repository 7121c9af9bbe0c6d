#!/bin/bash
# Measures the product on real processes and prints each figure beside its target
# (docs/design.md, 1.2).
#
#   scripts/bench.sh [--format=text|json] [CASE...]      CASE: tail, coverage, zone, overload
#
# Variables: those of cluster.sh, RATE (queries/s of tail and coverage) and ROUNDS (of tail).
# KEEP=1 keeps the directory with settings, logs and samples. Nothing here fails on a figure.
set -euo pipefail
cd "$(dirname "$0")/.."
FORMAT=text
CASES=()
for argument in "$@"; do
  case $argument in
    --format=text | --format=json) FORMAT=${argument#--format=} ;;
    tail | coverage | zone | overload) CASES+=("$argument") ;;
    *)
      echo "bench.sh: unknown argument \"$argument\": expected --format=text|json, tail, coverage," \
        "zone or overload" >&2
      exit 2
      ;;
  esac
done
((${#CASES[@]} > 0)) || CASES=(tail coverage zone overload)

say() { echo "$@" >&2; }
load_average() { cut -d' ' -f1 /proc/loadavg; }
now_ms() { date +%s%3N; }

# Prints the figure $2 of case $1: value $3, unit $4, target $5 (empty if there is none).
figure() {
  if [[ $FORMAT == json ]]; then
    printf '{"case":"%s","figure":"%s","value":%s,"unit":"%s","target":"%s","load_average":%s}\n' \
      "$1" "$2" "$3" "$4" "$5" "$(load_average)"
  else
    printf '%-9s %-52s %10s %-9s %-14s load average %s\n' "$1" "$2" "$3" "$4" \
      "${5:+target $5}" "$(load_average)"
  fi
}

# Evaluates an arithmetic expression to 3 decimals; 0 for a division by zero.
compute() { awk "BEGIN { printf \"%.3f\", ($1) }" 2>/dev/null || echo 0; }

# Latency quantile $2 in ms of the answered queries in the samples $1; $3 restricts to urgent ones.
quantile() {
  awk -v urgent="${3:-}" '$3 == 200 && (urgent == "" || $5 == 1) { print $2 }' "$1" | sort -n |
    awk -v q="$2" '{ v[NR] = $1 } END { i = int(q * NR) + 1; if (i > NR) i = NR; printf "%.2f", v[i] }'
}

# Mean coverage of the samples $1.
coverage() { awk '{ sum += $4 } END { printf "%.6f", NR ? sum / NR : 0 }' "$1"; }

# Queries per second of the samples $1, over $2 s, that have full coverage within the deadline.
goodput() { awk -v s="$2" '$3 == 200 && $4 >= 1 && $2 <= 1000 { n++ } END { printf "%.2f", n / s }' "$1"; }

count_where() { awk "$2 { n++ } END { print n + 0 }" "$1"; }

# Sends load: samples file, queries/s, duration, then further flags.
load() {
  local samples=$1 rate=$2 duration=$3
  shift 3
  "$BIN/damaskbench" --targets="${TARGETS:-$(callers_list)}" --front=accessions \
    --query='{"limit":1}' --rate="$rate" --duration="$duration" --deadline=1s \
    --samples="$samples" "$@" >>"$CLUSTER_DIR/bench.log"
}

# Starts a deployment that has applied its declaration and is warm.
begin() {
  dir=$(mktemp -d)
  trap finish EXIT
  PIDS=()
  start_cluster "$dir"
  local attempt
  for ((attempt = 0; attempt < 100; ++attempt)); do
    ctl status >/dev/null 2>&1 && break
    sleep 0.1
  done
  ctl --yes apply -f "$dir/declaration.yaml" >>"$dir/ctl.log" 2>&1
  wait_ready
  control_all '{"turn_warm":true}'
  load /dev/null "${1:-30}" 3s
  sleep 1
}

finish() {
  stop_cluster
  if [[ -n ${KEEP:-} ]]; then say "kept: $dir"; else rm -rf "$dir"; fi
  trap - EXIT
}

# Queries/s that the slots allow with the service time of the cases zone and overload, 21 ms.
slots_rate() { compute "$REPLICAS * $SLOTS / 0.021"; }

# Capacity in queries/s: the greatest rate of which 95% are answered in full in time, searched
# between 40% and 110% of what the slots allow.
find_capacity() {
  local low high rate step samples
  low=$(compute "$(slots_rate) * 0.4")
  high=$(compute "$(slots_rate) * 1.1")
  for ((step = 0; step < 5; ++step)); do
    rate=$(compute "($low + $high) / 2")
    samples=$dir/search-$step
    load "$samples" "$rate" 3s --warm_up=1s
    if (($(awk -v good="$(goodput "$samples" 3)" -v rate="$rate" \
      'BEGIN { print(good >= 0.95 * rate) }'))); then
      low=$rate
    else
      high=$rate
    fi
    sleep 0.5
  done
  echo "$low"
}

# One round of the tail case: samples, straggler probability, further flags. Prints the shard calls
# that the stand-ins received.
tail_round() {
  local samples=$1 probability=$2 before
  shift 2
  control_all "{\"straggler_probability\":$probability}"
  # Calls of the warm-up end and are not counted.
  load /dev/null "$RATE" 1500ms "$@"
  sleep 0.2
  before=$(standin_sum received)
  load "$samples" "$RATE" 4s "$@"
  sleep 0.2
  echo $(($(standin_sum received) - before))
}

case_tail() {
  local SHARDS=${SHARDS:-60} REPLICAS=${REPLICAS:-2} SLOTS=${SLOTS:-4}
  local SERVICE_TIME=${SERVICE_TIME:-6ms} JITTER=${JITTER:-6ms} RATE=${RATE:-60}
  source scripts/cluster.sh
  begin
  local round policy kind probability flags calls
  declare -A received=()
  for ((round = 0; round < ${ROUNDS:-3}; ++round)); do
    for policy in damaskroute baseline; do
      flags=(--policy="$policy" --declaration="$dir/declaration.yaml" --seed=$((round + 1)))
      for kind in even stragglers; do
        probability=0
        [[ $kind == stragglers ]] && probability=0.01
        calls=$(tail_round "$dir/$policy-$kind" $probability "${flags[@]}")
        received[$policy-$kind]=$((${received[$policy-$kind]:-0} + calls))
      done
    done
  done
  local file queries ratio extra name
  for policy in damaskroute baseline; do
    for kind in even stragglers; do
      file=$dir/$policy-$kind
      name="$policy, no stragglers"
      [[ $kind == stragglers ]] && name="$policy, 1% of calls 10x slow"
      queries=$(wc -l <"$file")
      figure tail "$name: p50" "$(quantile "$file" 0.5)" ms ""
      figure tail "$name: p99" "$(quantile "$file" 0.99)" ms ""
      figure tail "$name: p99.9" "$(quantile "$file" 0.999)" ms ""
      extra=$(compute "(${received[$policy-$kind]} / ($queries * $SHARDS) - 1) * 100")
      if [[ $policy == damaskroute && $kind == stragglers ]]; then
        figure tail "$name: extra shard calls" "$extra" % "at most 5"
      else
        figure tail "$name: extra shard calls" "$extra" % ""
      fi
      figure tail "$name: coverage" "$(coverage "$file")" "" ""
    done
    ratio=$(compute "$(quantile "$dir/$policy-stragglers" 0.99) / $(quantile "$dir/$policy-even" 0.99)")
    if [[ $policy == damaskroute ]]; then
      figure tail "$policy: p99 with / without stragglers" "$ratio" x "at most 1.5"
    else
      figure tail "$policy: p99 with / without stragglers" "$ratio" x ""
    fi
  done
  finish
}

# Runs load for 8 s and $2 after 2 s; prints what the loss of $1 cost.
coverage_phase() {
  local samples=$dir/coverage-$3
  (
    sleep 2
    $2
  ) &
  local pid=$!
  load "$samples" "$RATE" 8s
  wait "$pid"
  figure coverage "$1 lost: answers without full coverage" \
    "$(count_where "$samples" '$3 == 200 && $4 < 1')" queries ""
  figure coverage "$1 lost: queries without an answer" \
    "$(count_where "$samples" '$3 != 200')" queries ""
  figure coverage "$1 lost: last incomplete query after" \
    "$(awk '($3 != 200 || $4 < 1) && $1 > t { t = $1 } END { printf "%d", t ? t - 2000 : 0 }' "$samples")" \
    ms ""
  awk '$1 >= 5000' "$samples" >"$samples.late"
  figure coverage "$1 lost: coverage from 3 s after the loss" "$(coverage "$samples.late")" "" "1.000000"
}

lose_vm() { kill -KILL "${NODE_PIDS[3]}"; }
lose_backend() { control_one s0-r0 '{"restart_delay":"60s","crash":true}'; }
lose_zone() {
  kill -KILL "${NODE_PIDS[1]}"
  local name
  for name in $(backends_in_zone 1); do control_one "$name" '{"restart_delay":"60s","crash":true}'; done
}

case_coverage() {
  local SHARDS=${SHARDS:-12} REPLICAS=${REPLICAS:-2} SLOTS=${SLOTS:-4}
  local SERVICE_TIME=${SERVICE_TIME:-5ms} JITTER=${JITTER:-2ms} RATE=${RATE:-80}
  source scripts/cluster.sh
  # The load balancer sends nothing to the VMs that are lost here.
  begin
  TARGETS="127.0.0.1:$(callers_port 0),127.0.0.1:$(callers_port 2)"
  coverage_phase "one backend server" lose_backend backend
  # The lost one has its only other replica in zone 1, which is lost next.
  finish
  begin
  coverage_phase "one VM" lose_vm vm
  finish
  begin
  coverage_phase "one zone" lose_zone zone
  finish
  unset TARGETS
}

# Sum of `received` over the backend servers of zone 1.
zone_received() {
  curl -s -m 5 "http://127.0.0.1:$(standin_port)/control/stats" | tr '{' '\n' |
    grep -F -f "$dir/zone-names" | grep -o '"received":[0-9]*' | cut -d: -f2 | paste -sd+ | bc
}

# Writes `milliseconds received` lines for zone 1 until the file $1 exists.
watch_zone() {
  while [[ ! -e $1 ]]; do
    echo "$(now_ms) $(zone_received)"
    sleep 0.05
  done
}

case_zone() {
  local SHARDS=${SHARDS:-12} REPLICAS=${REPLICAS:-3} SLOTS=${SLOTS:-2}
  local SERVICE_TIME=${SERVICE_TIME:-20ms} JITTER=${JITTER:-2ms} WARM_UP=${WARM_UP:-1s}
  source scripts/cluster.sh
  begin
  local capacity rate samples=$dir/zone out back
  capacity=$(find_capacity)
  rate=$(compute "0.6 * $capacity")
  backends_in_zone 1 | sed 's/.*/"backend":"&"/' >"$dir/zone-names"
  control_all '{"cold_calls":20}'
  load /dev/null "$rate" 2s
  local overload_before
  overload_before=$(standin_sum cold_overload)
  watch_zone "$dir/stop" >"$dir/zone-watch" &
  local watch=$!
  (
    sleep 4
    now_ms >"$dir/out"
    ctl --yes --override zone out bogota-b >>"$dir/ctl.log" 2>&1
    sleep 6
    # What comes back has lost its caches.
    for name in $(backends_in_zone 1); do control_one "$name" '{"turn_cold":true}'; done
    now_ms >"$dir/back"
    ctl --yes --override zone back bogota-b >>"$dir/ctl.log" 2>&1
  ) &
  local change=$!
  load "$samples" "$rate" 18s --urgent=0.1
  wait "$change"
  touch "$dir/stop"
  wait "$watch"
  out=$(cat "$dir/out")
  back=$(cat "$dir/back")
  figure zone "capacity (slots allow $(slots_rate))" "$capacity" queries/s ""
  figure zone "load" "$rate" queries/s ""
  figure zone "failed or incomplete queries" \
    "$(count_where "$samples" '$3 != 200 || $4 < 1')" queries "0"
  figure zone "last new work to the zone after the request" \
    "$(awk -v out="$out" -v back="$back" '$1 < back && n != "" && $2 > n && $1 > out { t = $1 - out }
       { n = $2 } END { printf "%d", t }' "$dir/zone-watch")" ms "at most 3000"
  figure zone "first work to the zone after its return" \
    "$(awk -v back="$back" 'n != "" && $2 > n && $1 > back { printf "%d", $1 - back; exit } { n = $2 }' \
      "$dir/zone-watch" | grep . || echo 0)" ms ""
  figure zone "calls above the cold limit" \
    "$(($(standin_sum cold_overload) - overload_before))" calls "0"
  local phase
  for phase in "before 0 4000" "out 4000 10000" "back 10000 18000"; do
    set -- $phase
    awk -v a="$2" -v b="$3" '$1 >= a && $1 < b' "$samples" >"$samples-$1"
    figure zone "$1: p99" "$(quantile "$samples-$1" 0.99)" ms ""
  done
  finish
}

case_overload() {
  local SHARDS=${SHARDS:-12} REPLICAS=${REPLICAS:-2} SLOTS=${SLOTS:-2}
  local SERVICE_TIME=${SERVICE_TIME:-20ms} JITTER=${JITTER:-2ms}
  source scripts/cluster.sh
  begin
  local slots capacity urgent=0.1
  slots=$(slots_rate)
  capacity=$(find_capacity)
  load "$dir/unloaded" "$(compute "$capacity * 0.2")" 8s --warm_up=1s --urgent=1
  load "$dir/once" "$capacity" 8s --warm_up=2s --urgent=$urgent
  load "$dir/twice" "$(compute "$capacity * 2")" 8s --warm_up=2s --urgent=$urgent
  load "$dir/again" "$capacity" 8s --urgent=$urgent
  local once twice
  once=$(goodput "$dir/once" 8)
  twice=$(goodput "$dir/twice" 8)
  figure overload "capacity (slots allow $slots)" "$capacity" queries/s ""
  figure overload "goodput at 1x" "$once" queries/s ""
  figure overload "goodput at 2x" "$twice" queries/s ""
  figure overload "goodput at 2x / at 1x" "$(compute "$twice / $once * 100")" % "at least 90"
  figure overload "urgent p99 unloaded" "$(quantile "$dir/unloaded" 0.99 urgent)" ms ""
  figure overload "urgent p99 at 1x" "$(quantile "$dir/once" 0.99 urgent)" ms ""
  figure overload "urgent p99 at 2x" "$(quantile "$dir/twice" 0.99 urgent)" ms ""
  figure overload "urgent p99 at 2x / unloaded" \
    "$(compute "$(quantile "$dir/twice" 0.99 urgent) / $(quantile "$dir/unloaded" 0.99 urgent)")" x \
    "at most 1.2"
  figure overload "urgent queries not answered in full at 2x" \
    "$(compute "100 * $(count_where "$dir/twice" '$5 == 1 && ($3 != 200 || $4 < 1)') / $(count_where "$dir/twice" '$5 == 1')")" % ""
  figure overload "incomplete answers at 2x" \
    "$(count_where "$dir/twice" '$3 == 200 && $4 < 1')" queries ""
  awk '$1 >= 4000' "$dir/again" >"$dir/recovered"
  figure overload "goodput at 1x again / at 1x, second 4 to 8" \
    "$(compute "$(goodput "$dir/recovered" 4) / $once * 100")" % ""
  finish
}

# Each case runs with settings of its own.
for case in "${CASES[@]}"; do (case_"$case"); done
