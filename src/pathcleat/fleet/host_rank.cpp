// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/host_rank.hpp"

#include "pathcleat/core/hash.hpp"

namespace pathcleat {

bool RanksAhead(const HostInfo& a, const HostInfo& b) {
  if (a.link_mbps != b.link_mbps) {
    return a.link_mbps > b.link_mbps;
  }
  return StableHash(a.name) < StableHash(b.name);
}

}  // namespace pathcleat
