// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "pathcleat/core/time.hpp"
#include "pathcleat/rollouts/canary_limiter.hpp"
#include "pathcleat/rollouts/rollout_order.hpp"
#include "pathcleat/rollouts/tally_table.hpp"
#include "pathcleat/rollouts/version_evaluator.hpp"
#include "pathcleat/rollouts/version_rule.hpp"
#include "pathcleat/steer/rollout_step.hpp"

namespace pathcleat {

/// @brief What a decision on a rollout rests on, beside the answers.
/// @ingroup rollouts
struct RolloutInput {
  bool is_order_active = true;  ///< the order stands, or is withdrawn
  Duration elapsed{0};          ///< since the rollout began
  int host_count = 1;           ///< that may be sending, this one included
};

/// @brief One order to move a service to a version, as this host follows and
/// judges it. A version in doubt is taken back, never completed.
/// @ingroup rollouts
class Rollout {
 public:
  Rollout(const RolloutOrder& order, std::uint64_t incarnation);

  const RolloutOrder& order() const { return order_; }

  /// @brief What is decided, as far as it is known here.
  void SetState(const RolloutState& state);
  const std::optional<RolloutState>& state() const { return state_; }

  /// @brief Where the next request may go.
  /// @param first false for a request that was sent before: it tries nothing.
  VersionRulePtr RuleFor(bool first) const;

  /// @brief Whether what was to go to a version may still go there, by what
  /// has been decided since.
  bool IsVersionAllowed(const std::string& version) const;

  /// @brief A request goes to an upstream.
  void OnSent(const std::string& version);

  /// @brief How things stand at this host now. Call before it tells others,
  /// a few times a second.
  /// @param versions of the service's open upstreams.
  /// @param on_others requests under way at versions but the new one.
  void SetLocalState(const std::set<std::string>& versions,
                     std::uint32_t on_others);

  void OnAnswer(const std::string& version, std::uint64_t route, bool bad);

  /// @brief What this host alone has counted.
  const RolloutTally& OwnTally() const { return own_; }

  TallyTable& tally_table() { return board_; }
  const TallyTable& tally_table() const { return board_; }
  const CanaryLimiter& canary_limiter() const { return gate_; }

  /// @brief Answers of the whole fleet, as they were last judged.
  const RolloutTally& evaluated_tally() const { return judged_; }

  /// @brief Takes the answers that came since the last call into the tests.
  void Evaluate(Time now);

  /// @brief The decision that is due, if any.
  /// @param reason set to what led to it, for the log.
  std::optional<RolloutStep> ProposeStep(const RolloutInput& facts,
                                         Time now,
                                         std::string& reason) const;

 private:
  bool IsFresh(const std::string& version) const {
    return version == order_.version;
  }
  bool HasManyBad() const;
  bool IsBad() const;
  bool IsGood() const;
  RolloutStep StepTo(RolloutPhase phase) const;
  std::optional<RolloutStep> WhileRunning(const RolloutInput& facts,
                                          std::string& reason) const;
  std::optional<RolloutStep> WhilePromoted(const RolloutInput& facts,
                                           Time now,
                                           std::string& reason) const;

  RolloutOrder order_;
  std::uint64_t incarnation_;
  std::optional<RolloutState> state_;
  CanaryLimiter gate_;
  RolloutTally own_;
  std::set<std::string> versions_;
  // Until the list is known, a rule holds as if both ran.
  bool others_run_ = true;
  bool fresh_runs_ = true;
  TallyTable board_;
  RolloutTally judged_;  ///< answers that the tests have seen
  VersionEvaluator all_;
  std::map<std::uint64_t, VersionEvaluator> by_route_;
  VersionRulePtr canary_;
  VersionRulePtr others_;
  VersionRulePtr promoted_;
};

}  // namespace pathcleat
