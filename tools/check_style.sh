#!/usr/bin/env bash
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
# Formatter and linter over all sources; the build's compile commands are
# needed (tools/test.sh makes them). Prints what is wrong and fails.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${PATHCLEAT_BUILD:-$root/build}
cd "$root"
git ls-files '*.cpp' '*.hpp' | xargs clang-format-14 --dry-run -Werror
# Only platform/ knows how the users' platform names things.
words='rows-tx|rows-get|rows-feed|ExpectedRev|TlsKey|TargetVersion|Pathcleat-(Expect|Server|Not|Instance|Cold|Affinity|Deadline|Response)'
if git grep -nE "$words" -- include src ':!*_test.cpp' ':!src/pathcleat/testing'; then
  echo "the platform's names stand outside platform/" >&2
  exit 1
fi
git ls-files 'src/*.cpp' 'platform/*.cpp' | grep -v '_test\.cpp$' |
  xargs -P "$(nproc)" -n 4 clang-tidy-14 -p "$build" --quiet \
    --extra-arg=-Wno-unknown-warning-option 2>/dev/null
