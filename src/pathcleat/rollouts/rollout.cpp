// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/rollout.hpp"

#include <algorithm>
#include <chrono>
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
// A request with a key that this host has not sent to the new version leaves
// this many requests of the limit for keys that it has sent.
constexpr std::uint64_t kRepeatReserve = 1;
// A latency counts as long from this multiple of the typical latency on. Run
// times of one kind vary by 15%; a bad version takes at least twice as long.
// Both versions are counted alike, so a multiple that is too low or too high
// only makes the comparison slower.
constexpr double kLongMultiple = 1.4;
// The same for keys that may be cold, in multiples of the expected cold run.
constexpr int kLongColdMultiple = 2;

double CanaryShare(const std::optional<RolloutBounds>& bounds) {
  return bounds ? bounds->exposure_share * kUsedExposure : 0;
}

constexpr Duration kMinColdRun{1'000};

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

// Routes differ in their run times, and most hosts see too few responses of a
// route to learn its latency within a trial.
double RelativeLatency(const VersionResponse& response) {
  const std::chrono::duration<double, std::micro> took = response.took;
  return took / std::max(response.cold_run, kMinColdRun);
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
      wide_canary_rule_(RequireVersion(order.version, 1)),
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

// A version that this host has found bad gets nothing more, also while the
// decision cannot be stored.
bool Rollout::IsTrial() const {
  return state_ && state_->phase == RolloutPhase::kRunning &&
         !is_trial_suspended_ && !IsBad() &&
         versions_.contains(order_.version) && serving_rule_ &&
         !serving_rule_->Allows(order_.version);
}

// No request goes to the new version before this host has received the start of
// the rollout.
VersionRulePtr Rollout::RuleFor(bool is_first_attempt,
                                std::uint64_t key) const {
  if (!is_first_attempt || !IsTrial() || !MaySendCanary(key)) {
    return serving_rule_;
  }
  return verdict_.NeedsMoreUpstreams() ? wide_canary_rule_ : canary_rule_;
}

bool Rollout::MaySendCanary(std::uint64_t key) const {
  const bool has_sent = canary_limiter_.new_version_sent() > 0;
  const bool waits = has_sent && !canary_keys_.IsRepeat(key);
  return canary_limiter_.MaySend(waits ? kRepeatReserve : 0);
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

void Rollout::OnSent(const std::string& version, std::uint64_t key) {
  canary_limiter_.OnSent(IsNewVersion(version));
  if (IsNewVersion(version)) {
    canary_keys_.OnSent(key);
  }
}

void Rollout::SetLocalState(const std::set<std::string>& versions,
                            std::uint32_t other_versions_in_flight) {
  versions_ = versions;
  UpdateServingRule();
  own_tally_.other_versions_in_flight = other_versions_in_flight;
  own_tally_.promoted_host_count =
      state_ && state_->phase == RolloutPhase::kPromoted ? 1 : 0;
}

bool Rollout::IsLong(const VersionResponse& response, std::size_t kind) const {
  if (!response.warm) {
    return response.took > response.cold_run * kLongColdMultiple;
  }
  const auto usual = latency_reference_.Find(response.route, kind);
  return usual && RelativeLatency(response) > *usual * kLongMultiple;
}

void Rollout::OnAnswer(const VersionResponse& response) {
  const bool is_new = IsNewVersion(response.version);
  if (!is_new && !IsReplaced(response.version)) {
    return;  // a version that the order does not concern
  }
  const auto side = [is_new](StratumCounts& stratum) -> ResponseCounts& {
    return is_new ? stratum.new_version : stratum.other_versions;
  };
  const std::size_t away = response.leaves_region ? 1 : 0;
  const std::size_t route = response.route % RolloutTally::kRouteGroups;
  side(own_tally_.failures.at(route * 2 + away)).Count(response.failed);
  bool is_long = false;
  // The kind is the order of the strata that RolloutTally::IsWarm relies on.
  const std::size_t kind =
      away * 4 + (response.full ? 2U : 0U) + (response.warm ? 1U : 0U);
  const bool has_reference =
      !response.warm || latency_reference_.Find(response.route, kind);
  if (!response.failed && has_reference) {
    constexpr std::size_t kKinds = 8;
    const std::size_t group =
        response.route % RolloutTally::kLatencyRouteGroups;
    is_long = IsLong(response, kind);
    side(own_tally_.latencies.at(group * kKinds + kind)).Count(is_long);
  }
  if (is_new) {
    own_tally_.new_version_upstreams
        .at(response.upstream % RolloutTally::kUpstreamGroups)
        .Count(response.failed || is_long);
  } else if (!response.failed && response.warm) {
    latency_reference_.Add(response.route, kind, RelativeLatency(response));
  }
}

void Rollout::Evaluate(Time now) {
  tally_table_.OnHostTally(incarnation_, own_tally_, now);
  evaluated_tally_ = tally_table_.FleetTally(now);
  verdict_.Update(evaluated_tally_, now);
}

// The evidence that is required decreases until the decision cutoff.
bool Rollout::IsGood(Duration elapsed) const {
  const std::chrono::duration<double, std::micro> timeout = order_.timeout;
  return verdict_.IsGood((elapsed / timeout - kMinTrialRatio) /
                         (kMaxTrialRatio - kMinTrialRatio));
}

std::set<std::string> Rollout::OtherVersions() const {
  std::set<std::string> others = versions_;
  others.erase(order_.version);
  return others;
}

VerdictState Rollout::StateOfVerdict(Duration elapsed) const {
  if (IsBad()) {
    return VerdictState::kBad;
  }
  return IsGood(elapsed) ? VerdictState::kGood : VerdictState::kUndecided;
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
      IsGood(input.elapsed)) {
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
