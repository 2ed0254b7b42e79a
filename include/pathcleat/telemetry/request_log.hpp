// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>
#include <vector>

#include "pathcleat/core/event_log.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/settings/entry_settings.hpp"
#include "pathcleat/steer/token_bucket.hpp"

namespace pathcleat {

/// @brief Decides, after a request has ended, whether its events are logged.
/// Failed requests are logged up to a rate limit. Of the successful requests a
/// sample is logged. The sample is selected by request id, so that all hosts
/// log the same requests. Not thread-safe.
/// @ingroup telemetry
class RequestLog {
 public:
  RequestLog(EventLog& events, const RequestLogSettings& settings);

  /// @brief Logs the events of a request that has ended, if the rate limit or
  /// the sample admits the request.
  /// @param failed true if the request was refused, retried or slow, if its
  /// caller disconnected, or if the request may have run without an answer.
  void LogRequest(const std::string& request_id,
                  bool failed,
                  const std::vector<Event>& events,
                  Time now);

  /// @brief Number of failed requests that the rate limit kept out of the log.
  std::uint64_t suppressed_failures() const { return suppressed_failures_; }

  /// @brief Whether a request's events are logged if the request succeeds.
  bool IsSampled(const std::string& request_id) const;

 private:
  EventLog& events_;
  RequestLogSettings settings_;
  TokenBucket failure_limiter_;
  std::uint64_t suppressed_failures_ = 0;
};

}  // namespace pathcleat
