// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/rollout_report.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>
#include <vector>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

// A service can have over 100 routes, which are counted in groups. Only the
// groups with the most failures, and the first names of each, are listed.
constexpr std::size_t kMaxRouteGroups = 12;
constexpr std::size_t kMaxNames = 2;

std::string SecondsText(Duration duration) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(1)
       << std::chrono::duration<double>(duration).count() << " s";
  return text.str();
}

std::string PercentText(double share) {
  constexpr double kPercentPerUnit = 100;
  std::ostringstream text;
  text << std::fixed << std::setprecision(1) << share * kPercentPerUnit << "%";
  return text.str();
}

std::string CountsText(const ResponseCounts& responses) {
  return std::to_string(responses.events) + " failed of " +
         std::to_string(responses.total);
}

// Responses on one group of routes.
StratumCounts OnRoutes(const RolloutTally& tally, std::size_t group) {
  constexpr std::size_t kStrata =
      RolloutTally::kFailureStrata / RolloutTally::kRouteGroups;
  StratumCounts sum;
  for (std::size_t i = 0; i < kStrata; ++i) {
    sum.Add(tally.failures.at(group * kStrata + i));
  }
  return sum;
}

std::string PhaseText(const RolloutState& state) {
  return std::string(ToString(state.phase)) + (state.IsHeld() ? ", held" : "");
}

Duration ElapsedSince(const RolloutState& state, std::uint64_t wall_micros) {
  const std::uint64_t start = state.start_time.micros;
  return Duration(wall_micros > start ? wall_micros - start : 0);
}

// Describes one service's newest rollout.
class RolloutReport {
 public:
  RolloutReport(const GatewayState& state,
                const RolloutReportInputs& inputs,
                const Rollout& rollout)
      : state_(state), inputs_(inputs), rollout_(rollout) {}

  std::string Headline() const {
    const RolloutOrder& order = rollout_.order();
    return order.service + " to " + order.version + ": " +
           (rollout_.state() ? PhaseText(*rollout_.state()) : "not begun");
  }

  std::string Summary() const {
    const StratumCounts fleet = rollout_.evaluated_tally().Total();
    return Headline() + ", " + ShareText() + "; test " + VerdictText() + ": " +
           CountsText(fleet.new_version) + " at the new version, " +
           CountsText(fleet.other_versions) + " at others, " + AgesText();
  }

  std::string Details() const {
    return Headline() + "\n" + TimeLine() + DecisionsLine() +
           "share now: " + ShareText() + "\n" + ExposureLines() + TestLines() +
           AttemptLines() + HandoverLine();
  }

 private:
  std::string TimeLine() const {
    const RolloutOrder& order = rollout_.order();
    std::ostringstream text;
    text << "order " << order.id << ": ";
    if (!rollout_.state()) {
      text << "its beginning is not in force here\n";
      return text.str();
    }
    const RolloutState& state = *rollout_.state();
    text << SecondsText(ElapsedSince(state, inputs_.wall_micros)) << " of "
         << SecondsText(order.timeout) << " passed";
    if (!state.IsFinal()) {
      text << ", rolled back from "
           << SecondsText(rollout_.CutoffOf(state.phase))
           << " on unless it has left this phase";
    }
    text << "\n";
    return text.str();
  }

  std::string DecisionsLine() const {
    std::uint64_t newest = inputs_.commands.version;
    for (const HostEntry* host : state_.hosts.Others()) {
      newest = std::max(newest, host->versions.commands);
    }
    return "decisions: by commands at version " +
           std::to_string(inputs_.commands.version) +
           ", the newest heard of is " + std::to_string(newest) +
           "; the store " +
           (state_.store_reachable ? "is reached" : "is out of reach") + "\n";
  }

  std::string ShareText() const {
    std::uint64_t sent = 0;
    std::uint64_t new_version_sent = 0;
    const auto& by_service = state_.version_stats.by_service();
    const auto versions = by_service.find(rollout_.order().service);
    if (versions != by_service.end()) {
      for (const auto& [version, counts] : versions->second) {
        const std::uint64_t recent = counts.recent.Count(inputs_.now);
        sent += recent;
        new_version_sent += version == rollout_.order().version ? recent : 0;
      }
    }
    const double share = sent > 0 ? static_cast<double>(new_version_sent) /
                                        static_cast<double>(sent)
                                  : 0;
    return PercentText(share) + " of the " + std::to_string(sent) +
           " requests sent from here in the last 2 s";
  }

  std::string ExposureLines() const {
    const auto& bounds = rollout_.bounds();
    if (!bounds) {
      return "exposure: the settings lack its bounds, so the order is "
             "refused\n";
    }
    const CanaryLimiter& own = rollout_.canary_limiter();
    const StratumCounts fleet = rollout_.evaluated_tally().Total();
    const std::uint64_t answers =
        fleet.new_version.total + fleet.other_versions.total;
    std::ostringstream text;
    text << std::fixed << std::setprecision(0)
         << "exposure here: " << own.new_version_sent() << " of " << own.sent()
         << " requests sent since the order was known, at most "
         << PercentText(rollout_.canary_share()) << " while it is running\n"
         << "exposure of all hosts: " << fleet.new_version.total << " of "
         << bounds->exposure_share * static_cast<double>(answers) +
                bounds->exposure_slack
         << " allowed for a bad version ("
         << PercentText(bounds->exposure_share) << " of " << answers << " and "
         << bounds->exposure_slack << "), by answers, " << AgesText() << "\n";
    return text.str();
  }

  std::string TestLines() const {
    const StratumCounts fleet = rollout_.evaluated_tally().Total();
    std::ostringstream text;
    text << "test: " << VerdictText() << "\n"
         << "answers of all hosts, " << AgesText() << ": "
         << CountsText(fleet.new_version) << " at the new version, "
         << CountsText(fleet.other_versions) << " at others\n"
         << RouteLines();
    return text.str();
  }

  std::string VerdictText() const {
    const auto& state = rollout_.state();
    return ToString(rollout_.StateOfVerdict(
        state ? ElapsedSince(*state, inputs_.wall_micros) : Duration(0)));
  }

  std::string RouteLines() const {
    std::vector<std::pair<std::size_t, StratumCounts>> groups;
    for (std::size_t i = 0; i < RolloutTally::kRouteGroups; ++i) {
      const StratumCounts counts = OnRoutes(rollout_.evaluated_tally(), i);
      if (counts.new_version.total > 0) {
        groups.emplace_back(i, counts);
      }
    }
    std::sort(groups.begin(), groups.end(), [](const auto& a, const auto& b) {
      const ResponseCounts& first = a.second.new_version;
      const ResponseCounts& second = b.second.new_version;
      return std::pair(second.events, second.total) <
             std::pair(first.events, first.total);
    });
    std::string text;
    for (std::size_t i = 0; i < std::min(groups.size(), kMaxRouteGroups); ++i) {
      const auto& [group, counts] = groups[i];
      text += "  new version on " + RouteNames(group) + ": " +
              CountsText(counts.new_version) + ", others " +
              CountsText(counts.other_versions) + "\n";
    }
    if (groups.size() > kMaxRouteGroups) {
      text += "  and on " + std::to_string(groups.size() - kMaxRouteGroups) +
              " other groups of routes\n";
    }
    return text;
  }

  std::string RouteNames(std::size_t group) const {
    std::vector<std::string> names;
    if (state_.routes.IsLoaded()) {
      for (const Route& route : state_.routes.config().routes) {
        if (StableHash(route.name) % RolloutTally::kRouteGroups == group) {
          names.push_back(route.name);
        }
      }
    }
    if (names.empty()) {
      return "routes that are not in force here";
    }
    std::string text = names.front();
    for (std::size_t i = 1; i < std::min(names.size(), kMaxNames); ++i) {
      text += ", " + names[i];
    }
    return names.size() > kMaxNames
               ? text + " and " + std::to_string(names.size() - kMaxNames) +
                     " others"
               : text;
  }

  std::string AttemptLines() const {
    const auto& by_service = state_.version_stats.by_service();
    const auto versions = by_service.find(rollout_.order().service);
    if (versions == by_service.end()) {
      return "";
    }
    std::ostringstream text;
    text << std::fixed << std::setprecision(1);
    for (const auto& [version, counts] : versions->second) {
      text << "sent from here since its start to "
           << (version.empty() ? "no version" : version) << ": " << counts.sent;
      for (const AttemptOutcome outcome : kAttemptOutcomes) {
        text << ", " << ToString(outcome) << " " << counts.CountOf(outcome);
      }
      const std::uint64_t answers =
          counts.latency.CountUpTo(Histogram::kBucketBounds.size());
      if (answers > 0) {
        constexpr double kMillisecondsPerSecond = 1000;
        text << ", mean "
             << counts.latency.sum_seconds() * kMillisecondsPerSecond /
                    static_cast<double>(answers)
             << " ms";
      }
      text << "\n";
    }
    return text.str();
  }

  std::string HandoverLine() const {
    if (!rollout_.state() ||
        rollout_.state()->phase != RolloutPhase::kPromoted) {
      return "";
    }
    const RolloutTally& fleet = rollout_.evaluated_tally();
    return "handover: " + std::to_string(fleet.promoted_host_count) +
           " hosts send to the new version alone, of " +
           std::to_string(state_.hosts.LimitSharerCount(inputs_.now)) +
           " that may send; " + std::to_string(fleet.other_versions_in_flight) +
           " requests under way at other versions\n";
  }

  std::string AgesText() const {
    const ReportAges ages = rollout_.tally_table().AgesOfReports(inputs_.now);
    std::ostringstream text;
    if (ages.newest && ages.oldest) {
      text << "reported " << static_cast<int>(ToMilliseconds(*ages.newest))
           << " to " << static_cast<int>(ToMilliseconds(*ages.oldest))
           << " ms ago";
    } else {
      text << "with no recent report";
    }
    if (ages.overdue > 0) {
      text << ", " << ages.overdue << " reports overdue";
    }
    return text.str();
  }

  const GatewayState& state_;
  const RolloutReportInputs& inputs_;
  const Rollout& rollout_;
};

// Rollouts whose order this host does not have: it was withdrawn before this
// host started.
std::string WithoutOrderText(const std::string& service,
                             const RolloutState& state) {
  return service + " to " + state.version + ": " + PhaseText(state) +
         ", its order is not in the store any more";
}

}  // namespace

std::string SummarizeRollouts(const GatewayState& state,
                              const RolloutReportInputs& inputs) {
  std::string text;
  for (const auto& [service, rollout] : state.rollouts.All()) {
    text += RolloutReport(state, inputs, rollout).Summary() + "\n";
  }
  for (const auto& [service, rollout_state] : inputs.commands.rollouts) {
    if (!state.rollouts.All().contains(service)) {
      text += WithoutOrderText(service, rollout_state) + "\n";
    }
  }
  return text.empty() ? "no rollout was ordered\n" : text;
}

std::string DescribeRollout(const GatewayState& state,
                            const RolloutReportInputs& inputs,
                            const std::string& service) {
  const auto rollout = state.rollouts.All().find(service);
  if (rollout != state.rollouts.All().end()) {
    return RolloutReport(state, inputs, rollout->second).Details();
  }
  const auto finished = inputs.commands.rollouts.find(service);
  return finished == inputs.commands.rollouts.end()
             ? "no rollout of " + service + " was ordered\n"
             : WithoutOrderText(service, finished->second) + "\n";
}

}  // namespace pathcleat
