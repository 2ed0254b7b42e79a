// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/rollout.hpp"

#include <algorithm>
#include <cmath>

namespace pathcleat {
namespace {

// The users allow a bad version a tenth of a service's requests and 50 more.
// The rest is left for hosts that have not heard of the order yet.
constexpr double kCanaryShare = 0.08;
// Of the time allowed: no version is judged good before the first, so that one
// that fails late is still found; what is not known to be good by the second is
// taken back, and the rest is left for the old version's work to end.
constexpr double kTryAtLeast = 0.5;
constexpr double kTryAtMost = 0.75;
constexpr double kFinishBy = 0.97;
// So many bad answers are judged by their count as well, in time for the users'
// bound, which runs from the 50th one.
constexpr std::uint64_t kManyBad = 25;
// Standard errors beyond the usual share: chance passes 3.1 once in 1,000
// looks, and there are a few dozen of them.
constexpr double kManyBadErrors = 4;

AnswerCounts Since(const AnswerCounts& now, const AnswerCounts& before) {
  return {now.good - std::min(now.good, before.good),
          now.bad - std::min(now.bad, before.bad)};
}

VersionRulePtr Only(const std::string& version, double part) {
  VersionRule rule;
  rule.required_version = version;
  rule.upstream_share = part;
  return std::make_shared<const VersionRule>(rule);
}

VersionRulePtr NoneOf(const std::set<std::string>& versions) {
  VersionRule rule;
  rule.excluded_versions = versions;
  return std::make_shared<const VersionRule>(rule);
}

}  // namespace

Rollout::Rollout(const RolloutOrder& order, std::uint64_t incarnation)
    : order_(order),
      incarnation_(incarnation),
      gate_(kCanaryShare),
      board_(order.id),
      canary_(Only(order.version, kCanaryShare)),
      others_(NoneOf({order.version})) {
  own_.order_id = order.id;
}

void Rollout::SetState(const RolloutState& state) {
  state_ = state;
  promoted_ = NoneOf(state.replaced_versions);
}

// Before it is known here that the rollout has begun, nothing is tried.
VersionRulePtr Rollout::RuleFor(bool first) const {
  if (!others_run_ || !fresh_runs_) {
    return nullptr;  // there is one choice alone
  }
  if (!state_ || state_->phase == RolloutPhase::kRolledBack) {
    return others_;
  }
  if (state_->phase != RolloutPhase::kRunning) {
    return promoted_;
  }
  return first && gate_.MaySend() ? canary_ : others_;
}

bool Rollout::IsVersionAllowed(const std::string& version) const {
  if (!state_ || state_->phase == RolloutPhase::kRunning) {
    return true;
  }
  const VersionRulePtr rule = RuleFor(true);
  return !rule || rule->Allows(version);
}

void Rollout::OnSent(const std::string& version) {
  gate_.OnSent(IsFresh(version));
}

void Rollout::SetLocalState(const std::set<std::string>& versions,
                            std::uint32_t on_others) {
  versions_ = versions;
  if (!versions.empty()) {
    fresh_runs_ = versions.contains(order_.version);
    others_run_ = versions.size() > versions.count(order_.version);
  }
  own_.other_versions_in_flight = on_others;
  own_.promoted_host_count =
      state_ && state_->phase == RolloutPhase::kPromoted ? 1 : 0;
}

void Rollout::OnAnswer(const std::string& version,
                       std::uint64_t route,
                       bool bad) {
  const AnswerCounts one{bad ? 0U : 1U, bad ? 1U : 0U};
  if (!IsFresh(version)) {
    own_.other_versions.Add(one);
    return;
  }
  own_.new_version.Add(one);
  own_.new_version_by_route[route].Add(one);
}

void Rollout::Evaluate(Time now) {
  board_.OnHostTally(incarnation_, own_, now);
  const RolloutTally fleet = board_.FleetTally(now);
  const double usual = ExpectedBadRatio(fleet.other_versions);
  all_.Add(Since(fleet.new_version, judged_.new_version), usual);
  for (const auto& [route, answers] : fleet.new_version_by_route) {
    by_route_[route].Add(Since(answers, judged_.new_version_by_route[route]),
                         usual);
  }
  judged_ = fleet;
}

bool Rollout::HasManyBad() const {
  if (judged_.new_version.bad < kManyBad) {
    return false;
  }
  const auto answers = static_cast<double>(judged_.new_version.total());
  const double usual = ExpectedBadRatio(judged_.other_versions);
  const double error = std::sqrt(usual * (1 - usual) / answers);
  return static_cast<double>(judged_.new_version.bad) / answers >
         usual + kManyBadErrors * error;
}

bool Rollout::IsBad() const {
  return HasManyBad() || all_.IsBad() ||
         std::any_of(by_route_.begin(), by_route_.end(),
                     [](const auto& route) { return route.second.IsBad(); });
}

// Also no route by itself is in doubt.
bool Rollout::IsGood() const {
  return all_.IsGood() &&
         std::all_of(by_route_.begin(), by_route_.end(), [](const auto& route) {
           return route.second.IsLikelyGood();
         });
}

RolloutStep Rollout::StepTo(RolloutPhase phase) const {
  RolloutStep step;
  step.service = order_.service;
  step.order_id = order_.id;
  step.version = order_.version;
  step.phase = phase;
  return step;
}

std::optional<RolloutStep> Rollout::ProposeStep(const RolloutInput& facts,
                                                Time now,
                                                std::string& reason) const {
  if (!state_) {
    if (!facts.is_order_active) {
      return std::nullopt;
    }
    reason = "an operator's order";
    return StepTo(RolloutPhase::kRunning);
  }
  if (state_->IsFinal()) {
    return std::nullopt;
  }
  if (!facts.is_order_active) {
    reason = "the order was withdrawn";
    return StepTo(RolloutPhase::kRolledBack);
  }
  if (IsBad()) {
    reason = "its answers are bad more often than those of other versions";
    return StepTo(RolloutPhase::kRolledBack);
  }
  return state_->phase == RolloutPhase::kRunning
             ? WhileRunning(facts, reason)
             : WhilePromoted(facts, now, reason);
}

std::optional<RolloutStep> Rollout::WhileRunning(const RolloutInput& facts,
                                                 std::string& reason) const {
  RolloutStep promote = StepTo(RolloutPhase::kPromoted);
  promote.replaced_versions = versions_;
  promote.replaced_versions.erase(order_.version);
  const bool runs = versions_.contains(order_.version);
  if (runs && promote.replaced_versions.empty()) {
    reason = "no other version runs";
    return promote;
  }
  if (runs && facts.elapsed >= order_.timeout * kTryAtLeast && IsGood()) {
    reason = "its answers are as good as those of other versions";
    return promote;
  }
  if (facts.elapsed >= order_.timeout * kTryAtMost) {
    reason = "not known to be good in time";
    return StepTo(RolloutPhase::kRolledBack);
  }
  return std::nullopt;
}

// The old version ends at once when this is completed: by then each host that
// may send has said that it sends there no more, and what ran there has ended.
std::optional<RolloutStep> Rollout::WhilePromoted(const RolloutInput& facts,
                                                  Time now,
                                                  std::string& reason) const {
  const RolloutTally fleet = board_.FleetTally(now);
  if (fresh_runs_ && fleet.other_versions_in_flight == 0 &&
      fleet.promoted_host_count >=
          static_cast<std::uint32_t>(facts.host_count)) {
    reason = "nothing runs at other versions";
    return StepTo(RolloutPhase::kCompleted);
  }
  if (facts.elapsed >= order_.timeout * kFinishBy) {
    reason = "work at other versions has not ended in time";
    return StepTo(RolloutPhase::kRolledBack);
  }
  return std::nullopt;
}

}  // namespace pathcleat
