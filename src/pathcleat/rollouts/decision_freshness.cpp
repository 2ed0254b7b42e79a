// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/decision_freshness.hpp"

#include <algorithm>
#include <cstddef>

namespace pathcleat {
namespace {

// Time without a heartbeat after which a host counts as dead. The time for
// which this host was stalled counts too, unlike in HostTable: decisions were
// made meanwhile.
constexpr Duration kHeardWithin{2'500'000};
// Four ticks of 250 ms. The sum of both is below the 4 s for which other hosts
// wait for this host's reports.
constexpr Duration kConfirmedFor{1'000'000};

}  // namespace

void DecisionFreshness::OnPeers(const std::vector<PeerDecisions>& peers,
                                std::uint64_t commands,
                                Time now) {
  std::size_t heard = 1;  // this host
  bool is_behind = false;
  for (const PeerDecisions& peer : peers) {
    if (peer.silence <= kHeardWithin) {
      ++heard;
      is_behind = is_behind || peer.commands > commands;
    }
  }
  if (!is_behind && heard * 2 > peers.size() + 1) {
    confirmed_at_ = now;
  }
}

void DecisionFreshness::OnLogRead(Time begun) {
  confirmed_at_ = std::max(confirmed_at_, begun);
}

bool DecisionFreshness::IsFresh(Time now) const {
  return confirmed_at_ != Time() && now - confirmed_at_ <= kConfirmedFor;
}

}  // namespace pathcleat
