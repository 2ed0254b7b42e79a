// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/limit_cases.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <vector>

#include "pathcleat/lab/limit_model.hpp"

namespace pathcleat {
namespace {

struct LimitCase {
  const char* name;
  LimitModelPlan plan;
};

LimitModelPlan Fleet(int hosts_in_domain, int upstreams, int limited) {
  LimitModelPlan plan;
  plan.hosts_in_domain = hosts_in_domain;
  plan.upstreams = upstreams;
  plan.limited_upstreams = limited;
  plan.requests_per_second = 5.0 * upstreams;
  return plan;
}

std::vector<LimitCase> Cases() {
  std::vector<LimitCase> cases = {
      {"12 hosts, 8 of 24 limited", Fleet(2, 24, 8)},
      {"12 hosts, all 24 limited", Fleet(2, 24, 24)},
      {"78 hosts, 40 of 120 limited", Fleet(13, 120, 40)},
      {"300 hosts, 8 of 24 limited", Fleet(50, 24, 8)},
      {"300 hosts, all 24 limited", Fleet(50, 24, 24)},
      {"300 hosts, limits of 10/s", Fleet(50, 24, 8)},
      {"78 hosts, one in three restarts", Fleet(13, 120, 40)},
      {"78 hosts, partitioned in halves", Fleet(13, 120, 40)},
      {"12 hosts, partitioned in halves", Fleet(2, 24, 8)},
  };
  cases[5].plan.limit_per_second = 10;
  cases[5].plan.requests_per_second = 480;
  cases[6].plan.restart_one_in = 3;
  cases[7].plan.partition_from = Duration(10'000'000);
  cases[8].plan.partition_from = Duration(10'000'000);
  return cases;
}

const char* ToString(LimitStrategy strategy) {
  switch (strategy) {
    case LimitStrategy::kNone:
      return "none";
    case LimitStrategy::kEqualShare:
      return "equal share";
    case LimitStrategy::kReportedUsage:
      return "reported usage";
    case LimitStrategy::kFewSenders:
      return "few senders";
  }
  return "none";
}

std::string Row(LimitModelPlan plan, LimitStrategy strategy, int seeds) {
  plan.strategy = strategy;
  LimitModelResult sum;
  LimitModelResult worst;
  for (int seed = 1; seed <= seeds; ++seed) {
    plan.seed = static_cast<std::uint64_t>(seed);
    const LimitModelResult result = RunLimitModel(plan);
    worst.max_window_ratio =
        std::max(worst.max_window_ratio, result.max_window_ratio);
    worst.max_informed_window_ratio = std::max(
        worst.max_informed_window_ratio, result.max_informed_window_ratio);
    worst.end_delay_seconds =
        std::max(worst.end_delay_seconds, result.end_delay_seconds);
    sum.used_share += result.used_share / seeds;
    sum.refused_share += result.refused_share / seeds;
    sum.bytes_per_host_per_second += result.bytes_per_host_per_second / seeds;
  }
  std::ostringstream row;
  row << std::fixed << std::setprecision(2) << " | " << ToString(strategy)
      << " | " << worst.max_window_ratio << " | "
      << worst.max_informed_window_ratio << " | " << sum.used_share << " | "
      << sum.refused_share << " | " << std::setprecision(1)
      << worst.end_delay_seconds << " | " << std::setprecision(0)
      << sum.bytes_per_host_per_second << " |\n";
  return row.str();
}

}  // namespace

std::string CompareLimitStrategies(int seeds) {
  std::string table =
      "| fleet | strategy | fullest 4 s window / allowed | same, informed "
      "hosts "
      "| share of the limits used | refused share | end known after, s | "
      "bytes per host and second |\n|---|---|---|---|---|---|---|---|\n";
  for (const LimitCase& limit_case : Cases()) {
    for (const LimitStrategy strategy :
         {LimitStrategy::kNone, LimitStrategy::kEqualShare,
          LimitStrategy::kReportedUsage, LimitStrategy::kFewSenders}) {
      table += std::string("| ") + limit_case.name +
               Row(limit_case.plan, strategy, seeds);
    }
  }
  return table;
}

}  // namespace pathcleat
