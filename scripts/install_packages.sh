#!/bin/bash
# Installs the build dependencies. Does nothing when all of them are present.
set -euo pipefail
packages=(g++ clang cmake curl bc python3 ninja-build ccache clang-format clang-tidy libclang-rt-14-dev
  libcpprest-dev libboost-dev libboost-system-dev libcereal-dev libabsl-dev libfmt-dev
  libyaml-cpp-dev doctest-dev librapidcheck-dev libxxhash-dev rapidjson-dev libssl-dev)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
  exit 0
fi
apt-get update -q
apt-get install -y -q "${packages[@]}"
