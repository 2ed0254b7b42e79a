// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/capacity_scale.hpp"

#include <algorithm>

namespace pathcleat {

void CapacityScale::Range::Add(double value) {
  if (value > 0) {
    low_ = std::min(low_, value);
    high_ = std::max(high_, value);
  }
}

double CapacityScale::Range::ShareOf(double value) const {
  if (high_ <= 0) {
    return 1;
  }
  return std::clamp(value, low_, high_) / high_;
}

void CapacityScale::Add(const HostInfo& host) {
  if (!host.capacity.IsStated()) {
    return;
  }
  cores_.Add(host.capacity.cpu_cores);
  link_.Add(host.link_mbps);
  descriptors_.Add(host.capacity.max_descriptors);
}

double CapacityScale::WeightOf(const HostInfo& host) const {
  if (!host.capacity.IsStated()) {
    return std::min({cores_.SmallestShare(), link_.SmallestShare(),
                     descriptors_.SmallestShare()});
  }
  return std::min({cores_.ShareOf(host.capacity.cpu_cores),
                   link_.ShareOf(host.link_mbps),
                   descriptors_.ShareOf(host.capacity.max_descriptors)});
}

}  // namespace pathcleat
