// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/peer_traffic.hpp"

namespace pathcleat {

const char* ToString(PeerMessage kind) {
  switch (kind) {
    case PeerMessage::kHeartbeat:
      return "heartbeat";
    case PeerMessage::kReport:
      return "report";
    case PeerMessage::kUsage:
      return "usage";
    case PeerMessage::kCrashes:
      return "crashes";
    case PeerMessage::kLimits:
      return "limits";
    case PeerMessage::kOrders:
      return "orders";
    case PeerMessage::kUpstreams:
      return "upstreams";
  }
  return "heartbeat";
}

}  // namespace pathcleat
