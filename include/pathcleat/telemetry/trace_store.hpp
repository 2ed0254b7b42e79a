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

/// @brief Keeps the events of the most recent requests, with the inputs and
/// reasons of each step, for the command "why REQUEST-ID".
/// @ingroup telemetry
class TraceStore {
 public:
  /// @param capacity maximum number of requests.
  explicit TraceStore(std::size_t capacity) : capacity_(capacity) {}

  /// @brief Stores the events of a finished request. Evicts the oldest request
  /// if the store is full.
  void Keep(const std::string& request_id, std::vector<Event> events);

  std::optional<std::vector<Event>> Find(const std::string& request_id) const;

 private:
  std::size_t capacity_;
  std::unordered_map<std::string, std::vector<Event>> traces_;
  std::deque<std::string> insertion_order_;
};

}  // namespace pathcleat
