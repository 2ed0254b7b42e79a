#!/usr/bin/env bash
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
# Builds into build/ (or $PATHCLEAT_BUILD).
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${PATHCLEAT_BUILD:-$root/build}
cmake -S "$root" -B "$build" -G Ninja "$@" >/dev/null
ninja -C "$build"
