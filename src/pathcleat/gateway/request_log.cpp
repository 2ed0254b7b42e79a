// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/request_log.hpp"

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

constexpr double kFailuresPerSecond = 50;
constexpr double kFailureBurst = 200;
// One request of so many that go well.
constexpr std::uint64_t kSampleOneOf = 128;

}  // namespace

RequestLog::RequestLog(EventLog& events, bool enabled)
    : events_(events),
      enabled_(enabled),
      failures_(kFailuresPerSecond, kFailureBurst) {}

bool RequestLog::IsSampled(const std::string& request_id) {
  return StableHash(request_id) % kSampleOneOf == 0;
}

void RequestLog::Finish(const std::string& request_id,
                        bool failed,
                        const std::vector<Event>& events,
                        Time now) {
  if (!enabled_) {
    return;
  }
  if (failed && !failures_.TryTake(now)) {
    ++left_out_;
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
