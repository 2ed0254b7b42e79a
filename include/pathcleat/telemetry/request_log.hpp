// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>
#include <vector>

#include "pathcleat/core/event_log.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/settings/entry_settings.hpp"
#include "pathcleat/steer/token_bucket.hpp"

namespace pathcleat {

/// @brief Decides which requests' events go to the log once a request is over:
/// all of those that did not go as they should, while a rate allows it, and a
/// sample of the others, the same at all hosts. Not thread-safe.
/// @ingroup telemetry
class RequestLog {
 public:
  RequestLog(EventLog& events, const RequestLogSettings& settings);

  /// @brief A request is over.
  /// @param failed it was refused, retried, slow, left by its caller or may
  /// have run without an answer.
  void LogRequest(const std::string& request_id,
                  bool failed,
                  const std::vector<Event>& events,
                  Time now);

  /// @brief Requests that failed and were not logged, for their number.
  std::uint64_t suppressed_failures() const { return left_out_; }

  /// @brief Whether a request's events are logged when it goes well.
  bool IsSampled(const std::string& request_id) const;

 private:
  EventLog& events_;
  RequestLogSettings settings_;
  TokenBucket failures_;
  std::uint64_t left_out_ = 0;
};

}  // namespace pathcleat
