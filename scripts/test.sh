#!/bin/bash
# Installs the dependencies, builds everything and runs all tests except those in KNOWN-RED.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
./scripts/install_packages.sh
cmake --preset release >/dev/null
cmake --build --preset release

# A KNOWN-RED entry starts with "test: NAME".
known_red=""
if [[ -f KNOWN-RED.txt ]]; then
  known_red=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|')
fi
if [[ -n "$known_red" ]]; then
  echo "not run, listed in KNOWN-RED.txt: $known_red"
  ctest --test-dir build/release --output-on-failure -j 4 -E "^($known_red)\$"
else
  ctest --test-dir build/release --output-on-failure -j 4
fi
