// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/telemetry/request_log.hpp"

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

// The rate limit allows a burst of as many failures as the configured rate
// allows in this number of seconds, so that all failures of an incident of a
// few seconds are logged.
constexpr double kFailureBurstSeconds = 4;

}  // namespace

RequestLog::RequestLog(EventLog& events, const RequestLogSettings& settings)
    : events_(events),
      settings_(settings),
      failure_limiter_(settings.failures_per_second,
                       settings.failures_per_second * kFailureBurstSeconds) {}

bool RequestLog::IsSampled(const std::string& request_id) const {
  const auto one_of = static_cast<std::uint64_t>(settings_.sample_one_of);
  return StableHash(request_id) % one_of == 0;
}

void RequestLog::LogRequest(const std::string& request_id,
                            bool failed,
                            const std::vector<Event>& events,
                            Time now) {
  if (!settings_.enabled) {
    return;
  }
  if (failed && !failure_limiter_.TryAcquire(now)) {
    ++suppressed_failures_;
    return;
  }
  if (!failed && !IsSampled(request_id)) {
    return;
  }
  const LogClass log_class = failed ? LogClass::kFailure : LogClass::kRequest;
  for (const Event& event : events) {
    events_.Write(event, log_class);
  }
}

}  // namespace pathcleat
