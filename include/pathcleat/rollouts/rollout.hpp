// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pathcleat/core/time.hpp"
#include "pathcleat/rollouts/canary_keys.hpp"
#include "pathcleat/rollouts/canary_limiter.hpp"
#include "pathcleat/rollouts/latency_reference.hpp"
#include "pathcleat/rollouts/peer_decisions.hpp"
#include "pathcleat/rollouts/rollout_bounds.hpp"
#include "pathcleat/rollouts/rollout_order.hpp"
#include "pathcleat/rollouts/tally_table.hpp"
#include "pathcleat/rollouts/verdict_state.hpp"
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
  std::vector<PeerDecisions> peers;  ///< all other hosts that are listed
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

  /// @brief Sets the state that an earlier order of the service was left in. It
  /// decides which versions serve until this order starts.
  void SetEarlierState(const RolloutState& state);
  const std::optional<RolloutState>& state() const { return state_; }

  /// @brief Versions that the next request may go to.
  /// @param is_first_attempt false for a retry, which is never sent to a
  /// version on trial.
  /// @param key hash of the request's key.
  VersionRulePtr RuleFor(bool is_first_attempt, std::uint64_t key = 0) const;

  /// @brief Whether a request for which a version was chosen earlier may still
  /// be sent to that version. Decisions made after the choice may exclude it.
  bool IsVersionAllowed(const std::string& version) const;

  /// @brief Whether the order moves requests away from a version. It does not
  /// concern versions that were first listed after its start.
  bool IsReplaced(const std::string& version) const;

  /// @brief Stops sending requests to the version on trial, for good. Called
  /// when this host proposes a rollback, which takes effect elsewhere only once
  /// the store has it.
  void SuspendTrial() { is_trial_suspended_ = true; }

  /// @brief Sets until when the old versions cannot have ended without this
  /// host's knowledge.
  void SetOldVersionsUntil(Time until) { old_versions_until_ = until; }

  /// @brief Whether the old versions may have ended without this host's
  /// knowledge, if this host cannot know the newest decisions.
  bool MayHaveEnded(Time now) const;

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

  /// @brief Verdict at the last evaluation.
  /// @param elapsed time since the start of the rollout.
  VerdictState StateOfVerdict(Duration elapsed) const;

  /// @brief Largest share of the requests of this host that its canary gets.
  double canary_share() const { return canary_rule_->upstream_share; }
  const std::optional<RolloutBounds>& bounds() const { return bounds_; }

  /// @brief Updates the sequential tests with the answers since the last call.
  void Evaluate(Time now);

  /// @brief Time after the start from which a rollout in this phase is rolled
  /// back instead of advancing.
  Duration CutoffOf(RolloutPhase phase) const;

  /// @brief The next decision, if one is due, while the rollout is not held.
  /// RestrictHeldStep gives the decision for a held rollout.
  /// @param reason set to the cause of the decision, for the log.
  std::optional<RolloutStep> ProposeStep(const RolloutInput& input,
                                         Time now,
                                         std::string& reason) const;

 private:
  bool IsNewVersion(const std::string& version) const {
    return version == order_.version;
  }
  bool IsTrial() const;
  std::set<std::string> ServingVersions() const;
  void UpdateServingRule();
  bool IsBad() const { return verdict_.IsBad(); }
  bool IsGood(Duration elapsed) const;
  bool MaySendCanary(std::uint64_t key) const;
  bool IsLong(const VersionResponse& response, std::size_t kind) const;
  std::set<std::string> OtherVersions() const;
  bool MaySendToOldVersions(const RolloutInput& input) const;
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
  std::optional<RolloutState> earlier_state_;
  bool is_trial_suspended_ = false;
  Time old_versions_until_ = Time::max();
  TallyTable tally_table_;
  RolloutTally evaluated_tally_;  ///< answers that the verdict includes
  VersionVerdict verdict_;
  LatencyReference latency_reference_;
  VersionRulePtr canary_rule_;
  VersionRulePtr wide_canary_rule_;  ///< all upstreams of the new version
  VersionRulePtr serving_rule_;  ///< for requests that are not part of a trial
};

}  // namespace pathcleat
