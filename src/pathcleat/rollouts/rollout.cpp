// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/rollout.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "pathcleat/rollouts/completion_check.hpp"

namespace pathcleat {
namespace {

// Part of the allowed exposure that a canary uses. The rest is for requests
// sent by hosts that have not received the order yet.
constexpr double kUsedExposure = 0.8;
// Parts of the order's timeout. No version is promoted before kMinTrialRatio,
// so that a version that fails late is still detected. A version that has not
// been found good by kMaxTrialRatio is rolled back. The old version's work must
// end by kFinishRatio, otherwise the new version is rolled back. The rest is
// for the decision and the status in the store: the time counts from the start
// of the rollout, which is up to 0.5 s later than the order, and both take 0.5
// s.
constexpr double kMinTrialRatio = 0.5;
constexpr double kMaxTrialRatio = 0.75;
constexpr double kFinishRatio = 0.9;
// Minimum number of bad answers at which the share of bad answers is checked
// too. It is below 50, the number of bad answers from which the users' limit
// applies.
constexpr std::uint64_t kMinBadForShareCheck = 25;
// Number of standard errors by which the share of bad answers may exceed the
// usual share. By chance, 3.1 standard errors are exceeded once in 1,000
// checks, and a rollout has a few dozen checks.
constexpr double kMaxStandardErrors = 4;

AnswerCounts Since(const AnswerCounts& now, const AnswerCounts& before) {
  return {now.good - std::min(now.good, before.good),
          now.bad - std::min(now.bad, before.bad)};
}

double CanaryShare(const std::optional<RolloutBounds>& bounds) {
  return bounds ? bounds->exposure_share * kUsedExposure : 0;
}

VersionRulePtr RequireVersion(const std::string& version,
                              double upstream_share) {
  VersionRule rule;
  rule.required_version = version;
  rule.upstream_share = upstream_share;
  return std::make_shared<const VersionRule>(rule);
}

VersionRulePtr AllowVersions(const std::set<std::string>& versions) {
  VersionRule rule;
  rule.allowed_versions = versions;
  return std::make_shared<const VersionRule>(rule);
}

VersionRulePtr ExcludeVersions(const std::set<std::string>& versions) {
  VersionRule rule;
  rule.excluded_versions = versions;
  return std::make_shared<const VersionRule>(rule);
}

}  // namespace

Rollout::Rollout(const RolloutOrder& order,
                 const std::optional<RolloutBounds>& bounds,
                 std::uint64_t incarnation)
    : order_(order),
      bounds_(bounds),
      incarnation_(incarnation),
      canary_limiter_(CanaryShare(bounds)),
      tally_table_(order.id),
      canary_rule_(RequireVersion(order.version, CanaryShare(bounds))),
      serving_rule_(ExcludeVersions({order.version})) {
  own_tally_.order_id = order.id;
}

void Rollout::SetState(const RolloutState& state) {
  state_ = state;
  UpdateServingRule();
}

void Rollout::SetEarlierState(const RolloutState& state) {
  earlier_state_ = state;
  UpdateServingRule();
}

std::set<std::string> Rollout::ServingVersions() const {
  if (state_) {
    return state_->ServingVersions();
  }
  if (!earlier_state_) {
    return {};
  }
  std::set<std::string> serving = earlier_state_->ServingVersions();
  if (serving.size() > 1) {
    serving.erase(order_.version);
  }
  return serving;
}

// If the list names only one side of the rollout, that side serves, whatever
// was decided. A version of neither side serves only if it is alone.
void Rollout::UpdateServingRule() {
  const std::set<std::string> serving = ServingVersions();
  serving_rule_ = serving.empty() ? ExcludeVersions({order_.version})
                                  : AllowVersions(serving);
  const auto is_served = [this](const std::string& version) {
    return serving_rule_->Allows(version);
  };
  if (versions_.empty() ||
      std::any_of(versions_.begin(), versions_.end(), is_served)) {
    return;
  }
  std::set<std::string> listed;
  std::copy_if(versions_.begin(), versions_.end(),
               std::inserter(listed, listed.end()),
               [this](const std::string& version) {
                 return IsNewVersion(version) || IsReplaced(version);
               });
  const bool all = listed.empty() || listed.size() == versions_.size();
  serving_rule_ = all ? nullptr : AllowVersions(listed);
}

bool Rollout::IsTrial() const {
  return state_ && state_->phase == RolloutPhase::kRunning &&
         !is_trial_suspended_ && versions_.contains(order_.version) &&
         serving_rule_ && !serving_rule_->Allows(order_.version);
}

// No request goes to the new version before this host has received the start of
// the rollout.
VersionRulePtr Rollout::RuleFor(bool is_first_attempt) const {
  return is_first_attempt && IsTrial() && canary_limiter_.MaySend()
             ? canary_rule_
             : serving_rule_;
}

bool Rollout::IsVersionAllowed(const std::string& version) const {
  return !serving_rule_ || serving_rule_->Allows(version) ||
         (IsNewVersion(version) && IsTrial());
}

bool Rollout::IsReplaced(const std::string& version) const {
  const bool is_known = state_ && !state_->replaced_versions.empty();
  return !IsNewVersion(version) &&
         (!is_known || state_->replaced_versions.contains(version));
}

void Rollout::OnSent(const std::string& version) {
  canary_limiter_.OnSent(IsNewVersion(version));
}

void Rollout::SetLocalState(const std::set<std::string>& versions,
                            std::uint32_t other_versions_in_flight) {
  versions_ = versions;
  UpdateServingRule();
  own_tally_.other_versions_in_flight = other_versions_in_flight;
  own_tally_.promoted_host_count =
      state_ && state_->phase == RolloutPhase::kPromoted ? 1 : 0;
}

void Rollout::OnAnswer(const std::string& version,
                       std::uint64_t route,
                       bool bad) {
  const AnswerCounts one{bad ? 0U : 1U, bad ? 1U : 0U};
  if (!IsNewVersion(version)) {
    own_tally_.other_versions.Add(one);
    return;
  }
  own_tally_.new_version.Add(one);
  own_tally_.new_version_by_route[route].Add(one);
}

void Rollout::Evaluate(Time now) {
  tally_table_.OnHostTally(incarnation_, own_tally_, now);
  const RolloutTally fleet = tally_table_.FleetTally(now);
  const double usual = ExpectedBadRatio(fleet.other_versions);
  all_routes_.Add(Since(fleet.new_version, evaluated_tally_.new_version),
                  usual);
  for (const auto& [route, answers] : fleet.new_version_by_route) {
    by_route_[route].Add(
        Since(answers, evaluated_tally_.new_version_by_route[route]), usual);
  }
  evaluated_tally_ = fleet;
}

bool Rollout::IsBadShareHigh() const {
  if (evaluated_tally_.new_version.bad < kMinBadForShareCheck) {
    return false;
  }
  const auto answers =
      static_cast<double>(evaluated_tally_.new_version.total());
  const double usual = ExpectedBadRatio(evaluated_tally_.other_versions);
  const double error = std::sqrt(usual * (1 - usual) / answers);
  return static_cast<double>(evaluated_tally_.new_version.bad) / answers >
         usual + kMaxStandardErrors * error;
}

bool Rollout::IsBad() const {
  return IsBadShareHigh() || all_routes_.IsBad() ||
         std::any_of(by_route_.begin(), by_route_.end(),
                     [](const auto& route) { return route.second.IsBad(); });
}

// A version is good only if its answers on each single route are likely good as
// well.
bool Rollout::IsGood() const {
  return all_routes_.IsGood() &&
         std::all_of(by_route_.begin(), by_route_.end(), [](const auto& route) {
           return route.second.IsLikelyGood();
         });
}

std::set<std::string> Rollout::OtherVersions() const {
  std::set<std::string> others = versions_;
  others.erase(order_.version);
  return others;
}

VersionVerdict Rollout::verdict() const {
  if (IsBad()) {
    return VersionVerdict::kBad;
  }
  return IsGood() ? VersionVerdict::kGood : VersionVerdict::kUndecided;
}

Duration Rollout::CutoffOf(RolloutPhase phase) const {
  return std::chrono::duration_cast<Duration>(
      order_.timeout *
      (phase == RolloutPhase::kRunning ? kMaxTrialRatio : kFinishRatio));
}

RolloutStep Rollout::StepTo(RolloutPhase phase) const {
  RolloutStep step;
  step.service = order_.service;
  step.order_id = order_.id;
  step.version = order_.version;
  step.phase = phase;
  return step;
}

std::optional<RolloutStep> Rollout::ProposeStep(const RolloutInput& input,
                                                Time now,
                                                std::string& reason) const {
  if (!state_) {
    if (!input.is_order_active) {
      return std::nullopt;
    }
    reason = "an operator's order";
    RolloutStep start = StepTo(RolloutPhase::kRunning);
    start.replaced_versions = OtherVersions();
    return start;
  }
  if (state_->IsFinal()) {
    return std::nullopt;
  }
  if (!input.is_order_active) {
    reason = "the order was withdrawn";
    return StepTo(RolloutPhase::kRolledBack);
  }
  if (!bounds_) {
    reason = "the settings lack rollout_exposure_share";
    return StepTo(RolloutPhase::kRolledBack);
  }
  if (IsBad()) {
    reason = "its answers are bad more often than those of other versions";
    return StepTo(RolloutPhase::kRolledBack);
  }
  return state_->phase == RolloutPhase::kRunning
             ? ProposeStepWhileRunning(input, reason)
             : ProposeStepWhilePromoted(input, now, reason);
}

std::optional<RolloutStep> Rollout::ProposeStepWhileRunning(
    const RolloutInput& input,
    std::string& reason) const {
  RolloutStep promote = StepTo(RolloutPhase::kPromoted);
  promote.replaced_versions = OtherVersions();
  const bool new_version_runs = versions_.contains(order_.version);
  // The list of one host is not enough to decide this: it may lack upstreams.
  const bool ran_alone = state_->replaced_versions.contains(order_.version);
  const bool is_alone =
      state_->replaced_versions.empty() && promote.replaced_versions.empty();
  if (new_version_runs && (ran_alone || is_alone)) {
    reason = "no other version runs";
    return promote;
  }
  if (new_version_runs && input.elapsed >= order_.timeout * kMinTrialRatio &&
      IsGood()) {
    reason = "its answers are as good as those of other versions";
    return promote;
  }
  if (input.elapsed >= order_.timeout * kMaxTrialRatio) {
    reason = "not known to be good in time";
    return StepTo(RolloutPhase::kRolledBack);
  }
  return std::nullopt;
}

bool Rollout::MayHaveEnded(Time now) const {
  const bool may_be_replaced =
      !state_ || state_->phase == RolloutPhase::kRunning;
  return may_be_replaced && now >= old_versions_until_;
}

// Whether other hosts may send to the old versions. A host that is silent may
// be cut off from this host and return; a host that stays silent stops sending
// to the old versions on its own before SilentHostWait ends.
bool Rollout::MaySendToOldVersions(const RolloutInput& input) const {
  const RemainingSenders remaining =
      CountRemainingSenders(input.peers, state_->log_version, order_.timeout);
  return remaining.behind > 0 ||
         (remaining.silent > 0 &&
          input.elapsed < SilentHostWait(order_.timeout));
}

// Upstreams of the old version may end at once when the rollout is completed.
// So before that, all hosts that may send requests must have reported that they
// no longer send to the old version, and the old version's work must have
// ended.
std::optional<RolloutStep> Rollout::ProposeStepWhilePromoted(
    const RolloutInput& input,
    Time now,
    std::string& reason) const {
  const RolloutTally fleet = tally_table_.FleetTally(now);
  if (versions_.contains(order_.version) &&
      fleet.other_versions_in_flight == 0 &&
      fleet.promoted_host_count >=
          static_cast<std::uint32_t>(input.host_count) &&
      !MaySendToOldVersions(input)) {
    reason = "nothing runs at other versions";
    return StepTo(RolloutPhase::kCompleted);
  }
  if (input.elapsed >= order_.timeout * kFinishRatio) {
    reason = "work at other versions has not ended in time";
    return StepTo(RolloutPhase::kRolledBack);
  }
  return std::nullopt;
}

}  // namespace pathcleat
