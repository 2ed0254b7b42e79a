// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "pathcleat/core/run_outcome.hpp"
#include "pathcleat/gateway/gateway_state.hpp"

namespace pathcleat {

/// @brief Whether a request with an idempotency key may run, or the answer
/// that it gets in place of a run.
/// @ingroup gateway
struct IdempotencyDecision {
  bool may_run = false;
  HttpResponse answer;
  RunOutcome outcome = RunOutcome::kNotRun;
};

/// @brief One request's hold on its idempotency key: claimed in the store
/// before it is sent, settled when its outcome is known.
/// @ingroup gateway
class IdempotencyGuard {
 public:
  explicit IdempotencyGuard(GatewayState& state) : state_(state) {}

  /// @brief Whether the request carries a key.
  static bool HasKey(const HttpRequest& request);

  /// @param left time until the request must have ended.
  /// @param callback called once; may come inside this call.
  void Claim(const std::string& service,
             const HttpRequest& request,
             Duration left,
             std::function<void(IdempotencyDecision)> callback);

  /// @brief Tells the outcome; does nothing without a claim.
  void RecordOutcome(const HttpResponse& response, RunOutcome outcome);

 private:
  IdempotencyDecision Decide(ClaimResult result, Duration left);

  GatewayState& state_;
  std::optional<ClaimedKey> claimed_;
};

}  // namespace pathcleat
