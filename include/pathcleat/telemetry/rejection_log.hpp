// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "pathcleat/core/event_log.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/http/rejection.hpp"
#include "pathcleat/steer/token_bucket.hpp"

namespace pathcleat {

/// @brief Counts the requests that servers rejected before they reached a
/// handler, and logs them up to a rate limit.
/// @ingroup telemetry
class RejectionLog {
 public:
  /// By the name of the listener and the cause.
  using Counts =
      std::map<std::pair<std::string, RejectionCause>, std::uint64_t>;

  /// @param lines_per_second limit on logged rejections.
  RejectionLog(EventLog& events, double lines_per_second)
      : events_(events), limiter_(lines_per_second, lines_per_second) {}

  /// @param listener name of the interface that the caller used.
  void Record(const std::string& listener,
              const Rejection& rejection,
              Time now);

  const Counts& counts() const { return counts_; }

 private:
  EventLog& events_;
  TokenBucket limiter_;
  Counts counts_;
};

}  // namespace pathcleat
