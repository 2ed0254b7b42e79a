#!/usr/bin/env bash
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
# Builds the tests of everything that reads bytes or numbers of other processes
# with the address and undefined-behaviour sanitizers, and runs them. Prints the
# last lines of each program and fails if one does.
#   tools/sanitize.sh BUILD [TEST-PROGRAM...]
# BUILD is a directory of its own; $PATHCLEAT_JOBS is the number of build jobs.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${1:?usage: tools/sanitize.sh BUILD [TEST-PROGRAM...]}
shift
tests=("$@")
if [ ${#tests[@]} -eq 0 ]; then
  tests=(core steer accounts crashes rollouts settings routing fleet feeds
         records calls query)
  tests=("${tests[@]/%/_test}")
fi
checks=undefined,float-cast-overflow
cmake -S "$root" -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Debug \
  -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g1" \
  -DCMAKE_CXX_FLAGS="-fsanitize=address,$checks -fno-sanitize-recover=$checks" \
  >/dev/null
ninja -C "$build" -j "${PATHCLEAT_JOBS:-4}" "${tests[@]}"
failed=0
for test in "${tests[@]}"; do
  echo "$test"
  "$build/$test" >"$build/$test.log" 2>&1 || failed=1
  grep -E 'runtime error|ERROR: |\[FAIL\]|Synthesis' "$build/$test.log" || true
done
exit "$failed"
