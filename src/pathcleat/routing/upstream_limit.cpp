// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/upstream_limit.hpp"

#include <algorithm>
#include <cmath>

namespace pathcleat {
namespace {

// An answer without a limit ends the limit only if its request was sent this
// long after the limit was last stated: the ages in reports between hosts are
// slightly inaccurate, and an upstream may omit the field from some answers.
constexpr Duration kMinAgeToEnd{1'000'000};
constexpr Duration kProbeAfter{3'000'000};
// Without an answer, a limit applies as stated for kLimitTtl, which is longer
// than the run time of most requests. After that, the limit doubles once per
// kDoublingInterval.
constexpr Duration kLimitTtl{10'000'000};
constexpr Duration kDoublingInterval{5'000'000};
// An upstream with a limit of 0 still gets a request now and then, to learn if
// the limit still applies.
constexpr double kMinPerSecond = 0.1;

}  // namespace

bool UpstreamLimit::Update(const LimitObservation& update) {
  const bool ends = latest_ && latest_->per_second && !update.per_second;
  if (latest_ &&
      update.observed_at <=
          latest_->observed_at + (ends ? kMinAgeToEnd : Duration::zero())) {
    return false;
  }
  latest_ = std::make_shared<const LimitObservation>(update);
  return true;
}

double UpstreamLimit::PerSecond(Time now) const {
  if (!latest_) {
    return capacity_;
  }
  const double stated =
      std::max(kMinPerSecond, latest_->per_second.value_or(0));
  const Duration overdue = now - latest_->observed_at - kLimitTtl;
  const double doublings =
      std::max(0.0, std::chrono::duration<double>(overdue) / kDoublingInterval);
  return stated * std::exp2(doublings);
}

bool UpstreamLimit::ShouldProbe(Time now) const {
  return IsInForce(now) && now - latest_->observed_at > kProbeAfter;
}

bool UpstreamLimit::IsInForce(Time now) const {
  return latest_ && latest_->per_second && PerSecond(now) < capacity_;
}

}  // namespace pathcleat
