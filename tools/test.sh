#!/usr/bin/env bash
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
# Installs missing packages, builds, and runs all tests.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${PATHCLEAT_BUILD:-$root/build}
"$root/tools/install_packages.sh"
PATHCLEAT_BUILD=$build "$root/tools/build.sh" -DCMAKE_BUILD_TYPE=Debug \
  -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g1"
"$root/tools/run_tests.sh" "$build"
"$root/tools/soak.py" --build "$build" --seed 5 --seconds 15 --rate 150
"$root/tools/soak_store.py" --build "$build" --seed 3 --seconds 20 --rate 100
"$root/tools/soak.py" --build "$build" --seed 4 --seconds 14 --rate 100 --kinds \
  stop_under_load,stop_under_load,tail,successor,port_taken,store_odd,row_odd
"$root/tools/soak.py" --build "$build" --seed 6 --seconds 10 --rate 100 --kinds answer_broken
