// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pathcleat/core/event.hpp"

namespace pathcleat {

/// @brief Remembers, for the newest requests, each step with its inputs and
/// reasons: what "why REQUEST-ID" tells.
/// @ingroup telemetry
class TraceStore {
 public:
  explicit TraceStore(std::size_t capacity) : capacity_(capacity) {}

  /// @brief Keeps a finished request's events.
  void Keep(const std::string& request_id, std::vector<Event> events);

  std::optional<std::vector<Event>> Find(const std::string& request_id) const;

 private:
  std::size_t capacity_;
  std::unordered_map<std::string, std::vector<Event>> traces_;
  std::deque<std::string> order_;
};

}  // namespace pathcleat
