#!/usr/bin/env bash
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
# Formatter and linter over all sources; the build's compile commands are
# needed (tools/test.sh makes them). Prints what is wrong and fails.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${PATHCLEAT_BUILD:-$root/build}
cd "$root"
git ls-files '*.cpp' '*.hpp' | xargs clang-format-14 --dry-run -Werror
git ls-files 'src/*.cpp' | grep -v '_test\.cpp$' |
  xargs -P "$(nproc)" -n 4 clang-tidy-14 -p "$build" --quiet \
    --extra-arg=-Wno-unknown-warning-option 2>/dev/null
