// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pathcleat/core/lock_rank.hpp"
#include "pathcleat/core/request_id.hpp"

namespace pathcleat {

/// @brief Remembers, for the newest requests, each step with its inputs and
/// reasons: what "why REQUEST-ID" tells. Thread-safe.
/// @ingroup host
class TraceStore {
 public:
  explicit TraceStore(std::size_t capacity);

  /// @brief Keeps a finished request's steps.
  void Keep(const RequestId& id, std::vector<std::string> steps);

  std::optional<std::vector<std::string>> Find(const RequestId& id) const;

 private:
  std::size_t capacity_;
  mutable RankedMutex mutex_{LockRank::kTrace};
  std::unordered_map<RequestId, std::vector<std::string>, RequestIdHash>
      traces_;
  std::deque<RequestId> order_;
};

}  // namespace pathcleat
