// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/trace_store.hpp"

#include <mutex>
#include <utility>

namespace pathcleat {

TraceStore::TraceStore(std::size_t capacity) : capacity_(capacity) {}

void TraceStore::Keep(const RequestId& id, std::vector<std::string> steps) {
  const std::lock_guard lock(mutex_);
  if (traces_.insert_or_assign(id, std::move(steps)).second) {
    order_.push_back(id);
  }
  if (order_.size() > capacity_) {
    traces_.erase(order_.front());
    order_.pop_front();
  }
}

std::optional<std::vector<std::string>> TraceStore::Find(
    const RequestId& id) const {
  const std::lock_guard lock(mutex_);
  const auto found = traces_.find(id);
  if (found == traces_.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace pathcleat
