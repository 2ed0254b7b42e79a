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
  plan.limited = limited;
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
      {"300 hosts, 10 a second each", Fleet(50, 24, 8)},
      {"78 hosts, one in three starts again", Fleet(13, 120, 40)},
      {"78 hosts, cut in halves", Fleet(13, 120, 40)},
      {"12 hosts, cut in halves", Fleet(2, 24, 8)},
  };
  cases[5].plan.limit_per_second = 10;
  cases[5].plan.requests_per_second = 480;
  cases[6].plan.restarts_one_of = 3;
  cases[7].plan.cut_from = Duration(10'000'000);
  cases[8].plan.cut_from = Duration(10'000'000);
  return cases;
}

const char* ToString(LimitWay way) {
  switch (way) {
    case LimitWay::kNone:
      return "none";
    case LimitWay::kOwnPart:
      return "own part";
    case LimitWay::kUsage:
      return "usage told";
    case LimitWay::kFewSenders:
      return "few senders";
  }
  return "none";
}

std::string Row(LimitModelPlan plan, LimitWay way, int seeds) {
  plan.way = way;
  LimitModelResult sum;
  LimitModelResult worst;
  for (int seed = 1; seed <= seeds; ++seed) {
    plan.seed = static_cast<std::uint64_t>(seed);
    const LimitModelResult result = PlayLimits(plan);
    worst.worst_of_allowed =
        std::max(worst.worst_of_allowed, result.worst_of_allowed);
    worst.worst_of_told = std::max(worst.worst_of_told, result.worst_of_told);
    worst.known_over_after =
        std::max(worst.known_over_after, result.known_over_after);
    sum.used += result.used / seeds;
    sum.refused += result.refused / seeds;
    sum.bytes_per_host += result.bytes_per_host / seeds;
  }
  std::ostringstream row;
  row << std::fixed << std::setprecision(2) << " | " << ToString(way) << " | "
      << worst.worst_of_allowed << " | " << worst.worst_of_told << " | "
      << sum.used << " | " << sum.refused << " | " << std::setprecision(1)
      << worst.known_over_after << " | " << std::setprecision(0)
      << sum.bytes_per_host << " |\n";
  return row.str();
}

}  // namespace

std::string CompareLimitWays(int seeds) {
  std::string table =
      "| fleet | way | fullest 4 s over what they may hold | of hosts that "
      "were told | part of the limits used | refused | end known after, s | "
      "bytes a host and second |\n|---|---|---|---|---|---|---|---|\n";
  for (const LimitCase& one : Cases()) {
    for (const LimitWay way : {LimitWay::kNone, LimitWay::kOwnPart,
                               LimitWay::kUsage, LimitWay::kFewSenders}) {
      table += std::string("| ") + one.name + Row(one.plan, way, seeds);
    }
  }
  return table;
}

}  // namespace pathcleat
