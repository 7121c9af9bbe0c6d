#!/bin/bash
# Runs clang-tidy over all sources, or over the files given. Needs the release preset configured.
set -euo pipefail
cd "$(dirname "$0")/.."
if (($#)); then
  files=("$@")
else
  mapfile -t files < <(git ls-files 'src/*.cc' 'platform/*.cc' 'standins/*.cc' 'daemons/*.cc' 'tools/*.cc' \
    'benchmark/*.cc')
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build/release \
  2> >(grep -v 'warnings generated' >&2)
