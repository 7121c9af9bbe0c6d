#!/bin/bash
# Prints the measured tables of docs/CAPACITY.md. Takes some 15 minutes on 10 cores.
#
#   scripts/capacity.sh [PART...]     PART: light_nodes control_cost capacity placement_cost
#                                     scatter_cost shard_call_cost; all by default
#
# BIN is the folder of the programs. Their logs are dropped. A program that is not built is named in
# the output as not measured.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=${BIN:-build/release}

section() {
  local program=$1
  shift
  printf '\n## %s\n\n' "$program $*"
  if [[ ! -x $BIN/$program ]]; then
    echo 'not measured yet'
    return
  fi
  echo "Load average before: $(cut -d' ' -f1-3 /proc/loadavg)"
  echo
  "$BIN/$program" "$@" 2>/dev/null
  echo
  echo "Load average after: $(cut -d' ' -f1-3 /proc/loadavg)"
}

parts=("$@")
if [[ ${#parts[@]} -eq 0 ]]; then
  parts=(light_nodes control_cost capacity placement_cost scatter_cost shard_call_cost)
fi
for part in "${parts[@]}"; do
  case $part in
    light_nodes) section light_nodes ;;
    control_cost) section control_cost --seconds=20 ;;
    capacity)
      section capacity
      # Services as small as those of today's customers.
      section capacity --parts=config,roster --backends_per_service=20
      ;;
    placement_cost) section placement_cost ;;
    scatter_cost) section scatter_cost --noexperiment ;;
    shard_call_cost) section shard_call_cost ;;
    *)
      echo "unknown part \"$part\"" >&2
      exit 2
      ;;
  esac
done
