#!/usr/bin/env bash
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
# Checks what the cases need beside the build of the deploy file: the stand-ins
# are Python programs, so nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/pathcleat
python3 -B - <<'CHECK'
import pathlib
for path in pathlib.Path("review").rglob("*.py"):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
CHECK
