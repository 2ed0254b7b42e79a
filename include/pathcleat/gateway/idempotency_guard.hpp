// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "pathcleat/core/run_outcome.hpp"
#include "pathcleat/gateway/gateway_state.hpp"

namespace pathcleat {

/// @brief Whether a request with an idempotency key may run, or the answer that
/// the caller gets instead of a run.
/// @ingroup gateway
struct IdempotencyDecision {
  bool may_run = false;
  HttpResponse answer;
  RunOutcome outcome = RunOutcome::kNotRun;
};

/// @brief The claim of one request to its idempotency key. The claim is written
/// to the store before the request is sent, and is settled when the outcome of
/// the request is known.
/// @ingroup gateway
class IdempotencyGuard {
 public:
  explicit IdempotencyGuard(GatewayState& state) : state_(state) {}

  /// @brief Whether the request carries an Idempotency-Key header.
  static bool HasKey(const HttpRequest& request);

  /// @brief Claims the key of a request in the store.
  /// @param left time until the request must have ended.
  /// @param callback called once; may be called inside this call.
  void Claim(const std::string& service,
             const HttpRequest& request,
             Duration left,
             std::function<void(IdempotencyDecision)> callback);

  /// @brief Settles the claim with the outcome of the request; does nothing
  /// without a claim.
  void RecordOutcome(const HttpResponse& response, RunOutcome outcome);

 private:
  IdempotencyDecision Decide(ClaimResult result, Duration left);

  GatewayState& state_;
  std::optional<ClaimedKey> claimed_;
};

}  // namespace pathcleat
