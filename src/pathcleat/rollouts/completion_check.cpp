// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/completion_check.hpp"

namespace pathcleat {
namespace {

// A host that was heard within this time may know all decisions that it was
// sent. DecisionFreshness ends earlier, so that a host stops its trials before
// others stop counting on its reports.
constexpr Duration kHeardWithin{4'000'000};
// Parts of the order's timeout. Rollouts that are promoted last, at 0.75 of it,
// leave a twentieth for the old versions at hosts that are cut off, and another
// one as a margin. A rollout must end at 0.9.
constexpr double kOldVersionsRatio = 0.8;
constexpr double kSilentHostRatio = 0.85;

Duration PartOf(Duration timeout, double ratio) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(timeout.count()) * ratio));
}

}  // namespace

RemainingSenders CountRemainingSenders(const std::vector<PeerDecisions>& peers,
                                       std::uint64_t promotion,
                                       Duration timeout) {
  RemainingSenders remaining;
  for (const PeerDecisions& peer : peers) {
    if (peer.silence <= kHeardWithin) {
      remaining.behind += peer.commands < promotion ? 1 : 0;
    } else if (peer.silence <= timeout) {
      ++remaining.silent;
    }
  }
  return remaining;
}

Duration SilentHostWait(Duration timeout) {
  return PartOf(timeout, kSilentHostRatio);
}

Duration OldVersionsWithoutNews(Duration timeout) {
  return PartOf(timeout, kOldVersionsRatio);
}

}  // namespace pathcleat
