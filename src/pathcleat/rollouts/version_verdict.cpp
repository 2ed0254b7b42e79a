// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/version_verdict.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <iterator>

namespace pathcleat {
namespace {

// Length of a time stratum. A burst of failures at all versions is compared
// with itself; a shorter window leaves more strata with one side only.
constexpr Duration kWindow{1'000'000};
// ln(10,000): with three odds ratios and a dozen windows, the probability that
// a good version ever reaches it is below 1 in 250 by the bound, and far lower
// as the bound is not tight.
constexpr double kBadThreshold = 9.21;
// Each route and kind of latency is tested as well. Adding the logarithm of
// their number (40) keeps the error probability of all of them together.
constexpr double kRouteThreshold = kBadThreshold + 3.69;
// ln(100): evidence at which a version is not promoted and more of its
// upstreams are tried.
constexpr double kDoubtThreshold = 4.605;
// ln(1,000): error probability of a version that is found good.
constexpr double kGoodThreshold = 6.907755;
// The same at the decision cutoff, at which a version in doubt is
// rolled back. With 190 requests per second, 148 responses allow no more
// evidence.
constexpr double kFinalGoodThreshold = 2;
// A single route's evidence from which on the version is not promoted.
constexpr double kRouteDoubtThreshold = 4.605;
// Time in which more upstreams are tried before a version is found bad whose
// bad responses come from few upstreams. Below the users' bound of 5 s.
constexpr Duration kWideTrial{2'500'000};
// Evidence that the version is not good, from which on more upstreams are
// tried.
constexpr double kNotGood = 0;
// ln(20): required of latencies. Few responses have warm keys on an upstream
// that has just started.
constexpr double kGoodLatencyThreshold = 2.996;
// A version that fails 5 in 100 more often than usual is bad.
constexpr ShareHypotheses kFailureHypotheses{0.005, 0.045, 10};
constexpr ShareHypotheses kLatencyHypotheses{0.03, 0.15, 5};
// Prior of the usual share, before there are responses: 1 in 100, with the
// weight of 50 responses.
constexpr double kPriorEvents = 0.5;
constexpr double kPriorResponses = 50;
// Responses by which the share of a single stratum is drawn to the share of its
// window, as a stratum has a few responses only.
constexpr double kShrinkage = 10;
// Part of the upstreams that a verdict must not depend on: those with the most
// events are left out. With a tenth of the upstreams degraded, more than a
// quarter of 16 tried upstreams are degraded in 2 of 100 rollouts.
constexpr double kIgnoredUpstreams = 0.25;
// Dispersion from which on events count as concentrated on few upstreams. With
// 16 groups and independent events 3 is exceeded once in 10,000 cases
// (chi-squared, 15 degrees of freedom).
constexpr double kConcentrated = 3;
// Dispersion up to which events count as independent, if enough groups respond:
// failures of one route are too few to show in the rest of the upstreams.
constexpr double kIndependent = 1.5;
constexpr int kMinGroups = 8;
// While there are fewer events, evidence is divided by kMaxEarlyDispersion at
// most: hosts report at different times, so the first failures of a version
// that fails always seem to come from few upstreams.
constexpr std::uint32_t kEarlyEvents = 60;
constexpr double kMaxEarlyDispersion = 3;
// ln(20): evidence required of the remaining upstreams.
constexpr double kSpreadThreshold = 2.996;
// Below 50 bad responses, from which on the users' limit applies. A version
// that causes so many is rolled back although few upstreams may be the cause.
constexpr double kMaxExcessEvents = 36;
// If fewer of the other versions' responses have warm keys, requests repeat no
// keys, and latencies of other keys are compared.
constexpr double kMinWarmShare = 0.05;

template <class Counts, std::size_t kSize>
std::array<Counts, kSize> Since(const std::array<Counts, kSize>& now,
                                const std::array<Counts, kSize>& before) {
  std::array<Counts, kSize> since;
  for (std::size_t i = 0; i < kSize; ++i) {
    since.at(i) = now.at(i).Since(before.at(i));
  }
  return since;
}

template <std::size_t kSize>
ResponseCounts TotalOfOthers(const std::array<StratumCounts, kSize>& strata) {
  ResponseCounts total;
  for (const StratumCounts& stratum : strata) {
    total.Add(stratum.other_versions);
  }
  return total;
}

// The strata of a window. Once the version is promoted the other versions
// respond to nothing any more, and all of their earlier responses are compared.
template <std::size_t kSize>
std::array<StratumCounts, kSize> WindowOf(
    const std::array<StratumCounts, kSize>& now,
    const std::array<StratumCounts, kSize>& before) {
  auto window = Since(now, before);
  if (TotalOfOthers(window).total == 0) {
    for (std::size_t i = 0; i < kSize; ++i) {
      window.at(i).other_versions = now.at(i).other_versions;
    }
  }
  return window;
}

RolloutTally WindowOf(const RolloutTally& now, const RolloutTally& before) {
  RolloutTally window;
  window.failures = WindowOf(now.failures, before.failures);
  window.latencies = WindowOf(now.latencies, before.latencies);
  return window;
}

// Strata of one group, which are adjacent.
template <std::size_t kSize>
std::vector<StratumCounts> Group(const std::array<StratumCounts, kSize>& strata,
                                 std::size_t index,
                                 std::size_t group_count) {
  const std::size_t size = kSize / group_count;
  std::vector<StratumCounts> group(size);
  std::copy_n(strata.data() + index * size, size, group.begin());
  return group;
}

template <std::size_t kSize>
std::vector<StratumCounts> All(const std::array<StratumCounts, kSize>& strata) {
  return Group(strata, 0, 1);
}

double ShareOf(const ResponseCounts& counts) {
  return (counts.events + kPriorEvents) / (counts.total + kPriorResponses);
}

// Events expected at the new version by the other versions' shares in the same
// strata.
double ExpectedEvents(const std::vector<StratumCounts>& strata) {
  StratumCounts total;
  for (const StratumCounts& stratum : strata) {
    total.Add(stratum);
  }
  const double usual = ShareOf(total.other_versions);
  double expected = 0;
  for (const StratumCounts& stratum : strata) {
    expected += stratum.new_version.total *
                (stratum.other_versions.events + kShrinkage * usual) /
                (stratum.other_versions.total + kShrinkage);
  }
  return expected;
}

// Adds the strata's responses; returns the events expected at the new version.
double AddTo(VersionEvaluator& evaluator,
             const std::vector<StratumCounts>& strata) {
  ResponseCounts seen;
  for (const StratumCounts& stratum : strata) {
    seen.Add(stratum.new_version);
  }
  if (seen.total == 0) {
    return 0;
  }
  const double expected = ExpectedEvents(strata);
  evaluator.Add(seen, expected / seen.total);
  return expected;
}

// The strata whose latencies tell whether the version is good: those with warm
// keys, if the service's requests repeat keys.
std::vector<StratumCounts> ComparableLatencies(const RolloutTally& fleet,
                                               const RolloutTally& window) {
  double warm = 0;
  double all = 0;
  for (std::size_t i = 0; i < RolloutTally::kLatencyStrata; ++i) {
    const double total = fleet.latencies.at(i).other_versions.total;
    all += total;
    warm += RolloutTally::IsWarm(i) ? total : 0;
  }
  const bool warm_only = warm >= all * kMinWarmShare;
  std::vector<StratumCounts> strata;
  for (std::size_t i = 0; i < RolloutTally::kLatencyStrata; ++i) {
    const StratumCounts& stratum = window.latencies.at(i);
    if (stratum.other_versions.total > 0 &&
        (!warm_only || RolloutTally::IsWarm(i))) {
      strata.push_back(stratum);
    }
  }
  return strata;
}

std::uint32_t EventsOf(
    const std::array<ResponseCounts, RolloutTally::kUpstreamGroups>& groups) {
  std::uint32_t events = 0;
  for (const ResponseCounts& group : groups) {
    events += group.events;
  }
  return events;
}

int UsedGroups(
    const std::array<ResponseCounts, RolloutTally::kUpstreamGroups>& groups) {
  return static_cast<int>(std::count_if(
      groups.begin(), groups.end(),
      [](const ResponseCounts& group) { return group.total > 0; }));
}

// Variance of the events over groups of upstreams, relative to that of
// independent events (Pearson's statistic). Events that come from a few bad
// upstreams vary by more, and carry less evidence by this factor (Rao and
// Scott, 1992).
double Dispersion(
    const std::array<ResponseCounts, RolloutTally::kUpstreamGroups>& groups) {
  ResponseCounts total;
  for (const ResponseCounts& group : groups) {
    total.Add(group);
  }
  const int used = UsedGroups(groups);
  if (used < 2 || total.events == 0 || total.events == total.total) {
    return 1;
  }
  const double share = static_cast<double>(total.events) / total.total;
  double sum = 0;
  for (const ResponseCounts& group : groups) {
    if (group.total > 0) {
      const double expected = share * group.total;
      const double difference = group.events - expected;
      sum += difference * difference / (expected * (1 - share));
    }
  }
  return std::max(1.0, sum / (used - 1));
}

// Share of events expected at the new version's upstreams.
double UsualShare(const RolloutTally& fleet, double expected_events) {
  double total = 0;
  for (const ResponseCounts& group : fleet.new_version_upstreams) {
    total += group.total;
  }
  return (expected_events + kPriorEvents) / (total + kPriorResponses);
}

// Sum over the groups of upstreams without those with the highest excess.
ResponseCounts WithoutWorst(
    const std::array<ResponseCounts, RolloutTally::kUpstreamGroups>& groups,
    double usual) {
  std::vector<ResponseCounts> used;
  std::copy_if(groups.begin(), groups.end(), std::back_inserter(used),
               [](const ResponseCounts& counts) { return counts.total > 0; });
  const auto excess = [usual](const ResponseCounts& counts) {
    return counts.events - usual * counts.total;
  };
  std::sort(used.begin(), used.end(),
            [&excess](const ResponseCounts& a, const ResponseCounts& b) {
              return excess(a) < excess(b);
            });
  const auto ignored = static_cast<std::size_t>(
      std::ceil(kIgnoredUpstreams * static_cast<double>(used.size())));
  ResponseCounts kept;
  for (std::size_t i = 0; i + ignored < used.size(); ++i) {
    kept.Add(used[i]);
  }
  return kept;
}

double MaxEvidence(const std::vector<StratifiedComparison>& tests) {
  double evidence = 0;
  for (const StratifiedComparison& test : tests) {
    evidence = std::max(evidence, test.evidence());
  }
  return evidence;
}

}  // namespace

VersionVerdict::VersionVerdict()
    : route_failures_(RolloutTally::kRouteGroups),
      route_latencies_(RolloutTally::kLatencyRouteGroups),
      failure_evaluator_(kFailureHypotheses),
      latency_evaluator_(kLatencyHypotheses) {}

void VersionVerdict::Update(const RolloutTally& fleet, Time now) {
  fleet_ = fleet;
  if (!window_started_) {
    window_started_ = now;
  }
  const bool closes = now - *window_started_ >= kWindow;
  const RolloutTally window = WindowOf(fleet, window_start_);
  UpdateTests(window, closes);
  if (closes) {
    AddToEvaluators(window);
    window_start_ = fleet;
    window_started_ = now;
  }
  if (!needs_more_upstreams_ &&
      (EvidenceOfBad() >= kDoubtThreshold || EvidenceOfGood() < kNotGood)) {
    Widen(now);
  }
  Judge(now);
}

// What was found by few upstreams does not count against the version.
void VersionVerdict::Widen(Time now) {
  needs_more_upstreams_ = true;
  widened_ = now;
  failure_evaluator_.DiscardEvidenceOfBad();
  latency_evaluator_.DiscardEvidenceOfBad();
}

void VersionVerdict::Judge(Time now) {
  if (EvidenceOfBad() < kBadThreshold || is_bad_) {
    return;
  }
  const double dispersion = Dispersion(fleet_.new_version_upstreams);
  const double independent =
      EvidenceOfBad() / (EventsOf(fleet_.new_version_upstreams) < kEarlyEvents
                             ? std::min(dispersion, kMaxEarlyDispersion)
                             : dispersion);
  const bool is_limit_reached = now - widened_ >= kWideTrial &&
                                ExcessEvents() >= kMaxExcessEvents &&
                                independent >= kDoubtThreshold;
  const bool is_even = UsedGroups(fleet_.new_version_upstreams) >= kMinGroups &&
                       dispersion < kIndependent;
  is_bad_ = is_limit_reached || (independent >= kBadThreshold &&
                                 (is_even || IsSpreadOverUpstreams()));
  if (!is_bad_ && !discounted_ && dispersion >= kIndependent) {
    discounted_ = true;
    all_failures_ = {};
    all_latencies_ = {};
    route_failures_.assign(route_failures_.size(), {});
    route_latencies_.assign(route_latencies_.size(), {});
  }
}

void VersionVerdict::UpdateTests(const RolloutTally& window, bool closes) {
  all_failures_.Update(All(window.failures), closes);
  all_latencies_.Update(All(window.latencies), closes);
  for (std::size_t i = 0; i < route_failures_.size(); ++i) {
    route_failures_[i].Update(Group(window.failures, i, route_failures_.size()),
                              closes);
  }
  for (std::size_t i = 0; i < route_latencies_.size(); ++i) {
    route_latencies_[i].Update(
        Group(window.latencies, i, route_latencies_.size()), closes);
  }
}

void VersionVerdict::AddToEvaluators(const RolloutTally& window) {
  expected_events_ += AddTo(failure_evaluator_, All(window.failures));
  AddTo(latency_evaluator_, ComparableLatencies(fleet_, window));
  expected_events_ += ExpectedEvents(All(window.latencies));
}

double VersionVerdict::RouteEvidence() const {
  return std::max(MaxEvidence(route_failures_), MaxEvidence(route_latencies_));
}

double VersionVerdict::EvidenceOfBad() const {
  const double all =
      std::max(all_failures_.evidence(), all_latencies_.evidence());
  return std::max(all, RouteEvidence() - (kRouteThreshold - kBadThreshold));
}

// If events are concentrated on a few upstreams, the remaining ones can show as
// well that the version is good.
double VersionVerdict::EvidenceOfGood() const {
  double failures = failure_evaluator_.evidence_of_good();
  if (Dispersion(fleet_.new_version_upstreams) >= kConcentrated) {
    const double usual = UsualShare(fleet_, expected_events_);
    VersionEvaluator remaining(kFailureHypotheses);
    remaining.Add(WithoutWorst(fleet_.new_version_upstreams, usual), usual);
    failures = std::max(failures, remaining.evidence_of_good());
  }
  const double latencies = latency_evaluator_.evidence_of_good();
  return std::min(failures, latencies * kGoodThreshold / kGoodLatencyThreshold);
}

bool VersionVerdict::IsGood(double progress) const {
  const double required =
      kGoodThreshold +
      (kFinalGoodThreshold - kGoodThreshold) * std::clamp(progress, 0.0, 1.0);
  const double dispersion = Dispersion(fleet_.new_version_upstreams);
  return !is_bad_ && EvidenceOfBad() < kDoubtThreshold * dispersion &&
         RouteEvidence() < kRouteDoubtThreshold * dispersion &&
         EvidenceOfGood() >= required;
}

double VersionVerdict::ExcessEvents() const {
  return EventsOf(fleet_.new_version_upstreams) - expected_events_;
}

// Whether the remaining upstreams still show more events than expected when
// those with the highest excess are left out.
bool VersionVerdict::IsSpreadOverUpstreams() const {
  const double usual = UsualShare(fleet_, expected_events_);
  const ResponseCounts kept = WithoutWorst(fleet_.new_version_upstreams, usual);
  const double expected = usual * kept.total;
  const double events = kept.events;
  return events > expected &&
         events * std::log(events / expected) - (events - expected) >=
             kSpreadThreshold;
}

}  // namespace pathcleat
