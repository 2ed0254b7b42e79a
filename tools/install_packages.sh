#!/usr/bin/env bash
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
# Installs the Debian packages that the build, the tests and the checks need;
# does nothing if all are installed.
set -euo pipefail
packages=(g++ python3 cmake ninja-build pkg-config clang-format-14 clang-tidy-14 curl
  libboost1.81-dev libboost-url1.81-dev libsodium-dev liblog4cplus-dev libdocopt-dev libcereal-dev
  libcriterion-dev librapidcheck-dev nlohmann-json3-dev libxxhash-dev
  zlib1g-dev)
missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
  [ "$status" = "install ok installed" ] || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -q
$sudo env DEBIAN_FRONTEND=noninteractive apt-get install -y -q \
  --no-install-recommends "${missing[@]}"
