// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/peer_traffic.hpp"

namespace pathcleat {

const char* ToString(PeerMessageKind kind) {
  switch (kind) {
    case PeerMessageKind::kHeartbeat:
      return "heartbeat";
    case PeerMessageKind::kDomainReport:
      return "report";
    case PeerMessageKind::kUsage:
      return "usage";
    case PeerMessageKind::kCrashes:
      return "crashes";
    case PeerMessageKind::kLimits:
      return "limits";
    case PeerMessageKind::kOrders:
      return "orders";
    case PeerMessageKind::kUpstreams:
      return "upstreams";
  }
  return "heartbeat";
}

}  // namespace pathcleat
