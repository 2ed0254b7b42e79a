// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/telemetry/metrics.hpp"

#include <array>
#include <iomanip>
#include <sstream>

namespace pathcleat {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.9, 0.99};

}  // namespace

const char* ToString(AbandonedWork work) {
  switch (work) {
    case AbandonedWork::kNotStarted:
      return "not-started";
    case AbandonedWork::kCancelled:
      return "cancelled";
    case AbandonedWork::kRunsOn:
      return "runs-on";
  }
  return "";
}

Metrics::RouteMetrics::RouteMetrics()
    : latency(acc::extended_p_square_probabilities = kQuantiles) {}

void Metrics::Record(const std::string& route,
                     RunOutcome outcome,
                     Duration latency) {
  RouteMetrics& metrics = by_route_[route];
  switch (outcome) {
    case RunOutcome::kAnswered:
      ++metrics.answered;
      metrics.latency(ToMilliseconds(latency));
      metrics.buckets.Add(latency);
      break;
    case RunOutcome::kNotRun:
      ++metrics.not_run;
      break;
    case RunOutcome::kUnknown:
      ++metrics.unknown;
      break;
  }
}

std::string Metrics::ToText() const {
  std::ostringstream text;
  text << std::fixed << std::setprecision(1);
  for (const auto& [name, metrics] : by_route_) {
    text << name << ": answered " << metrics.answered << ", not-run "
         << metrics.not_run << ", unknown " << metrics.unknown;
    if (metrics.answered > 0) {
      text << ", ms mean " << acc::mean(metrics.latency);
      for (const double probability : kQuantiles) {
        text << " p" << static_cast<int>(probability * 100) << " "
             << acc::quantile(metrics.latency,
                              acc::quantile_probability = probability);
      }
      text << " max " << acc::max(metrics.latency);
    }
    text << "\n";
  }
  return text.str();
}

}  // namespace pathcleat
