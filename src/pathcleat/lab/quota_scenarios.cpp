// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Scenarios on which the policies for sharing an account's limit are compared.

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>

#include "pathcleat/lab/quota_model.hpp"

namespace pathcleat {
namespace {

const char* PolicyName(QuotaPolicy policy) {
  switch (policy) {
    case QuotaPolicy::kAdaptive:
      return "adaptive";
    case QuotaPolicy::kEqualShare:
      return "even";
    case QuotaPolicy::kOwner:
      return "owner";
  }
  return "";
}

// The usual requests a second of the 85 other accounts of a fleet, a few of
// which are large.
std::vector<double> OtherAccounts() {
  constexpr std::size_t kCount = 85;
  std::vector<double> usual(kCount, 5);
  std::fill_n(usual.begin(), 14, 40);
  std::fill_n(usual.begin(), 4, 200);
  return usual;
}

}  // namespace

// Limits are 1.6 times the usual rate, with a burst of one second of the limit.
// In a "rush" the account sends 7.5 times its usual rate for 6.5 s. A "cut" is
// a network partition between two halves of the failure domains.
std::vector<QuotaScenario> QuotaScenarios() {
  constexpr double kHeadroom = 1.6;
  constexpr double kPeakFactor = 7.5;
  std::vector<QuotaScenario> scenarios;
  const auto add = [&](const char* name, double usual) -> QuotaScenario& {
    QuotaScenario scenario;
    scenario.name = name;
    scenario.usual_per_second = usual;
    scenario.limit = {usual * kHeadroom, usual * kHeadroom};
    return scenarios.emplace_back(scenario);
  };
  add("large, calm", 250);
  add("middle, calm", 20);
  add("small, calm", 3);
  add("large, callers move", 250).callers_move_at = 10;
  add("large, rush", 250).peak_factor = kPeakFactor;
  add("middle, rush", 20).peak_factor = kPeakFactor;
  add("small, rush", 3).peak_factor = kPeakFactor;
  add("large, twice", 250).peak_factor = 2;
  add("large, rush at two hosts", 250).peak_factor = kPeakFactor;
  scenarios.back().peak_hosts = 2;
  add("large, rush in a cut", 250).peak_factor = kPeakFactor;
  scenarios.back().partition_from = 5;
  scenarios.back().partition_seconds = 12;
  add("middle, rush in a cut", 20).peak_factor = kPeakFactor;
  scenarios.back().partition_from = 5;
  scenarios.back().partition_seconds = 12;
  add("large, 60% killed in a rush", 250).peak_factor = kPeakFactor;
  scenarios.back().kill_at = 10;
  scenarios.back().killed_share = 0.6;
  add("large, all killed, calm", 250).kill_at = 10;
  scenarios.back().killed_share = 0.98;
  add("small, rush in a cut", 3).peak_factor = kPeakFactor;
  scenarios.back().partition_from = 5;
  scenarios.back().partition_seconds = 12;
  add("middle, 60% killed in a rush", 20).peak_factor = kPeakFactor;
  scenarios.back().kill_at = 10;
  scenarios.back().killed_share = 0.6;
  add("large, one-way cut in a rush", 250).peak_factor = kPeakFactor;
  scenarios.back().partition_from = 5;
  scenarios.back().partition_seconds = 12;
  scenarios.back().partition_one_way = true;
  add("middle, one-way cut in a rush", 20).peak_factor = kPeakFactor;
  scenarios.back().partition_from = 5;
  scenarios.back().partition_seconds = 12;
  scenarios.back().partition_one_way = true;
  add("large, new hosts in a rush", 250).peak_factor = kPeakFactor;
  scenarios.back().new_hosts_at = 10;
  scenarios.back().new_host_share = 0.25;
  add("middle, new hosts in a rush", 20).peak_factor = kPeakFactor;
  scenarios.back().new_hosts_at = 10;
  scenarios.back().new_host_share = 0.25;
  add("small of 86, all rush", 3).peak_factor = kPeakFactor;
  scenarios.back().other_usual = OtherAccounts();
  add("large, limit to a tenth", 250).limit_change_at = 10;
  scenarios.back().limit_factor = 0.1;
  return scenarios;
}

QuotaModelPlan MixedFleetPlan(std::uint64_t seed) {
  QuotaModelPlan plan;
  plan.seed = seed;
  plan.hosts_by_domain = {16, 15, 15, 14, 14, 14};
  plan.large_hosts_in_domain = 2;
  // The ratio of the links, 200 to 10 Mbit/s, would be 20. Callers choose among
  // few addresses, so the load is less uneven.
  plan.large_host_weight = 5;
  return plan;
}

std::string CompareQuotaPolicies(const QuotaModelPlan& plan) {
  std::ostringstream text;
  text << "trace                         policy    worst window  refused below"
          "  served in rush  refused with room  bytes/s\n";
  for (const QuotaScenario& scenario : QuotaScenarios()) {
    for (const QuotaPolicy policy :
         {QuotaPolicy::kAdaptive, QuotaPolicy::kEqualShare,
          QuotaPolicy::kOwner}) {
      const QuotaModelResult result = RunQuotaModel(policy, scenario, plan);
      std::array<char, 160> line{};
      std::snprintf(line.data(), line.size(),
                    "%-29s %-9s %12.3f  %13.4f  %14.3f  %17.4f  %7.0f\n",
                    scenario.name.c_str(), PolicyName(policy),
                    result.max_window_ratio, result.refused_share_below_limit,
                    scenario.peak_factor > 1 ? result.peak_served_share : 0,
                    result.refused_share_with_room,
                    result.report_bytes_per_second);
      text << line.data();
    }
  }
  return text.str();
}

}  // namespace pathcleat
