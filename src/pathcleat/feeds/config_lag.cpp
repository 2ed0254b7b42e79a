// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/config_lag.hpp"

#include <algorithm>

namespace pathcleat {

void ConfigLag::OnPeerVersion(std::uint64_t version, Duration age, Time now) {
  if (version <= applied_) {
    return;
  }
  if (now - last_report_ > report_ttl_) {
    missing_.clear();
  }
  last_report_ = now;
  const auto [missing, first] = missing_.emplace(version, now - age);
  if (!first) {
    missing->second = std::min(missing->second, now - age);
  }
}

void ConfigLag::OnApplied(std::uint64_t version) {
  applied_ = std::max(applied_, version);
  missing_.erase(missing_.begin(), missing_.upper_bound(applied_));
}

bool ConfigLag::IsBehind(Time now) const {
  return !missing_.empty() && now - last_report_ <= report_ttl_;
}

Duration ConfigLag::LagDuration(Time now) const {
  if (!IsBehind(now)) {
    return Duration::zero();
  }
  const auto first = std::min_element(
      missing_.begin(), missing_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return now - first->second;
}

}  // namespace pathcleat
