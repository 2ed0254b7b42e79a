// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include <algorithm>
#include <utility>

#include "pathcleat/lab/caller_retry_model.hpp"
#include "pathcleat/lab/load_generator.hpp"

namespace pathcleat {
namespace {

double Median(std::vector<double> values) {
  return Quantile(std::move(values), 0.5);
}

struct ReturnCase {
  std::string name;
  CallerRetryPlan plan;
};

// The short kind is warm, the urgent one cold and long: each of its requests
// has a key of its own. They are weighed by their slot time.
CallerRetryPlan OverloadPlan(double load) {
  CallerRetryPlan plan = UrgentAndShortPlan();
  plan.requests_per_second *= load;
  return plan;
}

std::vector<ReturnCase> ReturnCases() {
  CallerRetryPlan burst;
  burst.requests_per_second = 400;
  burst.fault.load_factor = 1.7;
  CallerRetryPlan loss;
  loss.requests_per_second = 400;
  loss.fault.domain_fails = true;
  loss.fault.cold_requests_per_second = 4;
  return {{"burst of 1.7 for 3 s", burst},
          {"a domain lost for 3 s, cold after", loss},
          {"150%", OverloadPlan(1.5)},
          {"300%", OverloadPlan(3)}};
}

std::string Cell(const std::vector<double>& values) {
  constexpr int kDigits = 4;
  const std::string number = std::to_string(Median(values));
  return " | " + number.substr(0, number.find('.') + kDigits);
}

}  // namespace

CallerRetryPlan UrgentAndShortPlan() {
  CallerRetryPlan plan;
  CallerRetryKind urgent;
  urgent.name = "urgent";
  urgent.target_latency = Duration(500'000);
  urgent.deadline = Duration(3'000'000);
  urgent.mean_run_time = Duration(400'000);
  urgent.keys = 0;
  CallerRetryKind brief;
  brief.name = "short";
  brief.priority = 2;
  brief.weight = 3;
  plan.kinds = {urgent, brief};
  // 72 slots; a request takes 0.4 s once and 0.144 s three times of four.
  plan.requests_per_second = 345;
  return plan;
}

std::string MeasureCallerRetries(int seeds) {
  std::string text =
      "| case | kind | served | earned | told to return | of them served at "
      "the first return | refused again |\n|---|---|---|---|---|---|---|\n";
  for (const ReturnCase& one : ReturnCases()) {
    for (const CallerRetryKind& kind : one.plan.kinds) {
      std::vector<double> served;
      std::vector<double> earned;
      std::vector<double> told;
      std::vector<double> first_return;
      std::vector<double> again;
      for (int seed = 1; seed <= seeds; ++seed) {
        CallerRetryPlan plan = one.plan;
        plan.seed = static_cast<std::uint64_t>(seed);
        const CallerRetryCounts counts = RunCallerRetryModel(plan)[kind.name];
        const double offered = std::max(1, counts.offered);
        served.push_back(counts.ServedShare());
        earned.push_back(counts.CreditShare());
        told.push_back(counts.told_to_retry / offered);
        first_return.push_back(counts.FirstRetryShare());
        again.push_back(counts.retries_refused / offered);
      }
      text += "| " + one.name + " | " + kind.name + Cell(served) +
              Cell(earned) + Cell(told) + Cell(first_return) + Cell(again) +
              " |\n";
    }
  }
  return text;
}

}  // namespace pathcleat
