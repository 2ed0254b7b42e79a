// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The loads on which ways to share an account's limit are compared.

#include <array>
#include <cstdio>
#include <sstream>

#include "pathcleat/lab/quota_model.hpp"

namespace pathcleat {
namespace {

const char* NameOf(QuotaPolicy policy) {
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

}  // namespace

// Limits are 1.6 times the usual, the burst a second's worth, and an account
// that rushes sends 7.5 times its usual for 6.5 s.
std::vector<QuotaScenario> QuotaScenarios() {
  constexpr double kHeadroom = 1.6;
  constexpr double kRush = 7.5;
  std::vector<QuotaScenario> traces;
  const auto add = [&](const char* name, double usual) -> QuotaScenario& {
    QuotaScenario trace;
    trace.name = name;
    trace.usual_per_second = usual;
    trace.limit = {usual * kHeadroom, usual * kHeadroom};
    return traces.emplace_back(trace);
  };
  add("large, calm", 250);
  add("middle, calm", 20);
  add("small, calm", 3);
  add("large, callers move", 250).callers_move_at = 10;
  add("large, rush", 250).peak_factor = kRush;
  add("middle, rush", 20).peak_factor = kRush;
  add("small, rush", 3).peak_factor = kRush;
  add("large, twice", 250).peak_factor = 2;
  add("large, rush at two hosts", 250).peak_factor = kRush;
  traces.back().peak_hosts = 2;
  add("large, rush in a cut", 250).peak_factor = kRush;
  traces.back().partition_from = 5;
  traces.back().partition_seconds = 12;
  add("middle, rush in a cut", 20).peak_factor = kRush;
  traces.back().partition_from = 5;
  traces.back().partition_seconds = 12;
  add("large, 60% killed in a rush", 250).peak_factor = kRush;
  traces.back().kill_at = 10;
  traces.back().killed_share = 0.6;
  add("large, all killed, calm", 250).kill_at = 10;
  traces.back().killed_share = 0.98;
  add("large, limit to a tenth", 250).limit_change_at = 10;
  traces.back().limit_factor = 0.1;
  return traces;
}

std::string CompareQuotaPolicies(std::uint64_t seed) {
  std::ostringstream text;
  text << "trace                         policy    worst window  refused below"
          "  served in rush  bytes/s\n";
  for (const QuotaScenario& trace : QuotaScenarios()) {
    for (const QuotaPolicy policy :
         {QuotaPolicy::kAdaptive, QuotaPolicy::kEqualShare,
          QuotaPolicy::kOwner}) {
      QuotaModelPlan plan;
      plan.seed = seed;
      const QuotaModelResult outcome = RunQuotaModel(policy, trace, plan);
      std::array<char, 160> line{};
      std::snprintf(line.data(), line.size(),
                    "%-29s %-9s %12.3f  %13.4f  %14.3f  %7.0f\n",
                    trace.name.c_str(), NameOf(policy),
                    outcome.max_window_ratio, outcome.refused_share_below_limit,
                    trace.peak_factor > 1 ? outcome.peak_served_share : 0,
                    outcome.report_bytes_per_second);
      text << line.data();
    }
  }
  return text.str();
}

}  // namespace pathcleat
