#!/bin/bash
# Builds the fuzzers and runs each with a fixed seed and a fixed number of inputs.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset fuzz >/dev/null
shopt -s nullglob
targets=()
for source in fuzz/*_fuzz.cc; do
  targets+=("$(basename "$source" .cc)")
done
((${#targets[@]})) || exit 0
cmake --build --preset fuzz --target "${targets[@]}"
for target in "${targets[@]}"; do
  echo "fuzz: $target"
  "build/fuzz/$target" -seed=1 -runs="${FUZZ_RUNS:-20000}" -max_len=4096 -print_final_stats=0 \
    >"build/fuzz/$target.log" 2>&1 || { tail -40 "build/fuzz/$target.log"; exit 1; }
done
