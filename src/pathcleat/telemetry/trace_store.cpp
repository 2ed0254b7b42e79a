// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/telemetry/trace_store.hpp"

#include <utility>

namespace pathcleat {

void TraceStore::Keep(const std::string& request_id,
                      std::vector<Event> events) {
  const bool added =
      traces_.insert_or_assign(request_id, std::move(events)).second;
  if (!added) {
    return;
  }
  insertion_order_.push_back(request_id);
  if (insertion_order_.size() > capacity_) {
    traces_.erase(insertion_order_.front());
    insertion_order_.pop_front();
  }
}

std::optional<std::vector<Event>> TraceStore::Find(
    const std::string& request_id) const {
  const auto found = traces_.find(request_id);
  if (found == traces_.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace pathcleat
