// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/view_table.hpp"

#include <algorithm>

namespace pathcleat {

void ViewTable::OnReport(std::uint32_t target,
                         ServiceIndex service,
                         const PoolLoad& load,
                         Time observed) {
  const auto [found, added] = views_.try_emplace({target, service});
  PoolView& view = found->second;
  if (!added && observed < view.observed) {
    return;
  }
  view.load = load;
  view.observed = observed;
  view.sent_since = 0;
}

void ViewTable::OnSent(std::uint32_t target, ServiceIndex service) {
  const auto found = views_.find({target, service});
  if (found != views_.end()) {
    ++found->second.sent_since;
    ++found->second.in_flight;
  }
}

void ViewTable::OnDone(std::uint32_t target, ServiceIndex service) {
  const auto found = views_.find({target, service});
  if (found == views_.end()) {
    return;
  }
  PoolView& view = found->second;
  view.in_flight = std::max(0, view.in_flight - 1);
  view.sent_since = std::max(0, view.sent_since - 1);
}

const PoolView* ViewTable::Find(std::uint32_t target,
                                ServiceIndex service) const {
  const auto found = views_.find({target, service});
  return found == views_.end() ? nullptr : &found->second;
}

}  // namespace pathcleat
