// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "pathcleat/core/time.hpp"
#include "pathcleat/rollouts/canary_keys.hpp"
#include "pathcleat/rollouts/canary_limiter.hpp"
#include "pathcleat/rollouts/latency_reference.hpp"
#include "pathcleat/rollouts/rollout_bounds.hpp"
#include "pathcleat/rollouts/rollout_order.hpp"
#include "pathcleat/rollouts/tally_table.hpp"
#include "pathcleat/rollouts/version_response.hpp"
#include "pathcleat/rollouts/version_rule.hpp"
#include "pathcleat/rollouts/version_verdict.hpp"
#include "pathcleat/steer/rollout_step.hpp"

namespace pathcleat {

/// @brief Input of a decision on a rollout, besides the counts of answers.
/// @ingroup rollouts
struct RolloutInput {
  bool is_order_active = true;  ///< false: the order was withdrawn
  Duration elapsed{0};          ///< time since the start of the rollout
  int host_count = 1;  ///< hosts that may send requests, this host included
};

/// @brief Carries out and evaluates, at this host, one order to move a service
/// to a version. A version that may be bad is rolled back, never completed.
/// @ingroup rollouts
class Rollout {
 public:
  /// @param bounds of the deployment; if missing, the order is refused.
  Rollout(const RolloutOrder& order,
          const std::optional<RolloutBounds>& bounds,
          std::uint64_t incarnation);

  const RolloutOrder& order() const { return order_; }

  /// @brief Sets the last decision that this host has received.
  void SetState(const RolloutState& state);
  const std::optional<RolloutState>& state() const { return state_; }

  /// @brief Versions that the next request may go to.
  /// @param is_first_attempt false for a retry, which is never sent to a
  /// version on trial.
  /// @param key hash of the request's key.
  VersionRulePtr RuleFor(bool is_first_attempt, std::uint64_t key = 0) const;

  /// @brief Whether a request for which a version was chosen earlier may still
  /// be sent to that version. Decisions made after the choice may exclude it.
  bool IsVersionAllowed(const std::string& version) const;

  /// @brief Whether a version is the new one, and neither promoted nor rolled
  /// back yet.
  bool IsOnTrial(const std::string& version) const {
    return IsNewVersion(version) && state_ &&
           state_->phase == RolloutPhase::kRunning;
  }

  /// @brief Counts a request sent to an upstream.
  void OnSent(const std::string& version, std::uint64_t key = 0);

  /// @brief Sets the state of this host. Call before each report to other
  /// hosts, a few times a second.
  /// @param versions of the service's open upstreams.
  /// @param other_versions_in_flight requests in flight at versions other than
  /// the new one.
  void SetLocalState(const std::set<std::string>& versions,
                     std::uint32_t other_versions_in_flight);

  /// @brief Counts a response, or a failed attempt, of an upstream.
  void OnAnswer(const VersionResponse& response);

  const VersionVerdict& verdict() const { return verdict_; }

  /// @brief The counts of this host only.
  const RolloutTally& OwnTally() const { return own_tally_; }

  TallyTable& tally_table() { return tally_table_; }
  const TallyTable& tally_table() const { return tally_table_; }
  const CanaryLimiter& canary_limiter() const { return canary_limiter_; }

  /// @brief Answers of the whole fleet at the last evaluation.
  const RolloutTally& evaluated_tally() const { return evaluated_tally_; }

  /// @brief Updates the sequential tests with the answers since the last call.
  void Evaluate(Time now);

  /// @brief The next decision, if one is due.
  /// @param reason set to the cause of the decision, for the log.
  std::optional<RolloutStep> ProposeStep(const RolloutInput& input,
                                         Time now,
                                         std::string& reason) const;

 private:
  bool IsNewVersion(const std::string& version) const {
    return version == order_.version;
  }
  bool IsBad() const { return verdict_.IsBad(); }
  bool IsGood(const RolloutInput& input) const;
  bool MaySendCanary(std::uint64_t key) const;
  bool IsLong(const VersionResponse& response, std::size_t kind) const;
  RolloutStep StepTo(RolloutPhase phase) const;
  std::optional<RolloutStep> ProposeStepWhileRunning(const RolloutInput& input,
                                                     std::string& reason) const;
  std::optional<RolloutStep> ProposeStepWhilePromoted(
      const RolloutInput& input,
      Time now,
      std::string& reason) const;

  RolloutOrder order_;
  std::optional<RolloutBounds> bounds_;
  std::uint64_t incarnation_;
  std::optional<RolloutState> state_;
  CanaryLimiter canary_limiter_;
  CanaryKeys canary_keys_;
  RolloutTally own_tally_;
  std::set<std::string> versions_;
  // Until the list of upstreams is received, the new version and some other
  // version are assumed to run, so that the version rules apply.
  bool other_versions_run_ = true;
  bool new_version_runs_ = true;
  TallyTable tally_table_;
  RolloutTally evaluated_tally_;  ///< answers that the verdict includes
  VersionVerdict verdict_;
  LatencyReference latency_reference_;
  VersionRulePtr canary_rule_;
  VersionRulePtr wide_canary_rule_;  ///< all upstreams of the new version
  VersionRulePtr other_versions_rule_;
  VersionRulePtr promoted_rule_;
};

}  // namespace pathcleat
