#!/bin/bash
# Runs the fault soak for a range of seeds:
#
#   scripts/soak.sh FIRST LAST [SECONDS] [PROCESSES] [NODES] [FLAG...]
#
# FLAG: --store_outages, --tenants, --crash_delay_ms=MS, --crashing_timeout_ms=MS
set -euo pipefail
cd "$(dirname "$0")/.."
first=${1:?first seed}
last=${2:?last seed}
seconds=${3:-8}
dir=$(mktemp -d)
run_seed() {
  mkdir -p "$2"
  local callers=$(($4 > 8 ? $4 : 6))
  if build/release/damask_soak --folder="$2/$1" --seed="$1" --seconds="$3" --nodes="$4" \
    --callers="$callers" "${@:5}" \
    >"$2/$1.out" 2>&1; then
    rm -rf "${2:?}/$1"
  else
    echo "seed $1 failed, logs in $2/$1:"
    grep BROKEN "$2/$1.out" | head -5
  fi
}
export -f run_seed
seq "$first" "$last" | xargs -P "${4:-4}" -I{} bash -c 'run_seed "$@"' _ {} "$dir" "$seconds" "${5:-8}" "${@:6}"
echo "seeds $first to $last: $(grep -l ' 0 promises broken' "$dir"/*.out | wc -l) green"
