// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "pathcleat/accounts/quota_control.hpp"
#include "pathcleat/routing/retry_scheduler.hpp"

namespace pathcleat {

/// @brief Whether a request is within its account's limit, and when a refused
/// one is told to come back.
/// @ingroup gateway
struct QuotaResult {
  QuotaDecision decision;
  Duration retry_after{0};
};

/// @brief The limits of client accounts at this host. What is refused is told
/// a place of its own, as far apart as the limit gives places. Not thread-safe.
/// @ingroup gateway
class QuotaEnforcer {
 public:
  /// @param seed another one at each host and start.
  QuotaEnforcer(const std::string& domain,
                const std::string& host,
                std::uint64_t seed)
      : control_(domain, host, seed) {}

  QuotaControl& control() { return control_; }
  const QuotaControl& control() const { return control_; }

  /// @param caller_left until the caller gives up.
  /// @param target latency of the route.
  QuotaResult Admit(const Account& account,
                    Duration caller_left,
                    Duration target,
                    Time now);

 private:
  QuotaControl control_;
  std::unordered_map<std::uint64_t, RetryScheduler> returns_;  ///< by AccountId
};

}  // namespace pathcleat
