// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "pathcleat/accounts/quota_control.hpp"
#include "pathcleat/routing/retry_scheduler.hpp"

namespace pathcleat {

/// @brief Whether a request is within its account's limit, and the delay before
/// a retry if the request is refused.
/// @ingroup gateway
struct QuotaResult {
  QuotaDecision decision;
  Duration retry_after{0};
};

/// @brief Enforces the limits of client accounts at this host. Each refused
/// request gets a retry time of its own. Retry times are spaced at the rate at
/// which the limit admits requests. Not thread-safe.
/// @ingroup gateway
class QuotaEnforcer {
 public:
  /// @param seed must differ between hosts and between starts of a host.
  QuotaEnforcer(const std::string& domain,
                const std::string& host,
                std::uint64_t seed)
      : control_(domain, host, seed) {}

  QuotaControl& control() { return control_; }
  const QuotaControl& control() const { return control_; }

  /// @param caller_left time until the caller gives up.
  /// @param target target latency of the route.
  QuotaResult Admit(const Account& account,
                    Duration caller_left,
                    Duration target,
                    Time now);

 private:
  QuotaControl control_;
  /// Retry times of refused requests, by AccountId.
  std::unordered_map<std::uint64_t, RetryScheduler> retry_schedulers_;
};

}  // namespace pathcleat
