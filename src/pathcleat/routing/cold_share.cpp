// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/cold_share.hpp"

#include <algorithm>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

constexpr double kSlackPart = 0.5;

bool Precedes(const ColdSender& a,
              const ColdSender& b,
              std::uint64_t upstream_hash) {
  if (a.near != b.near) {
    return a.near;
  }
  return MixHashes(upstream_hash, a.hash) > MixHashes(upstream_hash, b.hash);
}

}  // namespace

int ColdSenderCount(double slack) {
  return std::max(1, static_cast<int>(slack * kSlackPart));
}

double ColdRate(const ColdBound& bound,
                std::uint64_t upstream_hash,
                const ColdSender& self,
                const std::vector<ColdSender>& others) {
  const auto ahead =
      std::count_if(others.begin(), others.end(), [&](const ColdSender& other) {
        return Precedes(other, self, upstream_hash);
      });
  const int senders = std::min(ColdSenderCount(bound.slack),
                               static_cast<int>(others.size()) + 1);
  return ahead < senders ? bound.per_second / senders : 0;
}

}  // namespace pathcleat
