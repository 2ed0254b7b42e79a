#!/usr/bin/env bash
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
# Runs the formatter and the linter over all sources; needs the compile commands
# of the build (tools/test.sh creates them). Prints all findings and fails if
# there are any.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${PATHCLEAT_BUILD:-$root/build}
cd "$root"
git ls-files '*.cpp' '*.hpp' | xargs clang-format-14 --dry-run -Werror
# Names of the users' platform may be used in platform/ only.
words='rows-tx|rows-get|rows-feed|ExpectedRev|TlsKey|TargetVersion|Server-(Leaving|Limit)|Pathcleat-(Expect|Server|Not|Instance|Cold|Affinity|Deadline|Response)'
if git grep -nE "$words" -- include src ':!*_test.cpp' ':!src/pathcleat/testing'; then
  echo "the platform's names stand outside platform/" >&2
  exit 1
fi
git ls-files 'src/*.cpp' 'platform/*.cpp' | grep -v '_test\.cpp$' |
  xargs -P "$(nproc)" -n 4 clang-tidy-14 -p "$build" --quiet \
    --extra-arg=-Wno-unknown-warning-option 2>/dev/null
