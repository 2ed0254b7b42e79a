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

struct RetryCase {
  std::string name;
  CallerRetryPlan plan;
};

// Requests of the short kind mostly have a cached key. Requests of the urgent
// kind run for long and never have a cached key, as each has its own key.
// `load` is the run time of the arriving requests / the available slot time.
CallerRetryPlan OverloadPlan(double load) {
  CallerRetryPlan plan = UrgentAndShortPlan();
  plan.requests_per_second *= load;
  return plan;
}

std::vector<RetryCase> RetryCases() {
  CallerRetryPlan burst;
  burst.requests_per_second = 400;
  burst.fault.load_factor = 1.7;
  CallerRetryPlan loss;
  loss.requests_per_second = 400;
  loss.fault.domain_fails = true;
  loss.fault.cold_requests_per_second = 4;
  return {{"load x 1.7 for 3 s", burst},
          {"one domain down for 3 s, cold afterwards", loss},
          {"load 150%", OverloadPlan(1.5)},
          {"load 300%", OverloadPlan(3)}};
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
  CallerRetryKind short_kind;
  short_kind.name = "short";
  short_kind.priority = 2;
  short_kind.weight = 3;
  plan.kinds = {urgent, short_kind};
  // Load near the capacity of 72 slots: of every four requests, one runs for a
  // mean of 0.4 s and the other three for a mean of 0.144 s each.
  plan.requests_per_second = 345;
  return plan;
}

std::string MeasureCallerRetries(int seeds) {
  std::string text =
      "| case | kind | served | credit | told to retry | of these served at "
      "the first retry | retries refused |\n|---|---|---|---|---|---|---|\n";
  for (const RetryCase& retry_case : RetryCases()) {
    for (const CallerRetryKind& kind : retry_case.plan.kinds) {
      std::vector<double> served;
      std::vector<double> credit;
      std::vector<double> told_to_retry;
      std::vector<double> first_retry;
      std::vector<double> retries_refused;
      for (int seed = 1; seed <= seeds; ++seed) {
        CallerRetryPlan plan = retry_case.plan;
        plan.seed = static_cast<std::uint64_t>(seed);
        const CallerRetryCounts counts = RunCallerRetryModel(plan)[kind.name];
        const double offered = std::max(1, counts.offered);
        served.push_back(counts.ServedShare());
        credit.push_back(counts.CreditShare());
        told_to_retry.push_back(counts.told_to_retry / offered);
        first_retry.push_back(counts.FirstRetryShare());
        retries_refused.push_back(counts.retries_refused / offered);
      }
      text += "| " + retry_case.name + " | " + kind.name + Cell(served) +
              Cell(credit) + Cell(told_to_retry) + Cell(first_retry) +
              Cell(retries_refused) + " |\n";
    }
  }
  return text;
}

}  // namespace pathcleat
