// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/telemetry/rejection_log.hpp"

namespace pathcleat {

void RejectionLog::Record(const std::string& listener,
                          const Rejection& rejection,
                          Time now) {
  ++counts_[{listener, rejection.cause}];
  if (!limiter_.TryAcquire(now)) {
    return;
  }
  EventFields fields{{field::kListener, listener},
                     {field::kReason, std::string(ToString(rejection.cause))},
                     IntegerField(field::kStatus, StatusOf(rejection.cause))};
  if (!rejection.request_id.empty()) {
    fields.push_back({field::kRequest, rejection.request_id});
  }
  events_.Record(EventCode::kCallerInputRejected, rejection.caller_ip, "",
                 std::move(fields));
}

}  // namespace pathcleat
