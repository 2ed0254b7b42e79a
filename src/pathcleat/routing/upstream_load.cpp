// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/upstream_load.hpp"

#include <algorithm>
#include <cmath>

namespace pathcleat {
namespace {

// Others' requests last about as long as a request runs.
constexpr double kFadeMicros = 600'000;
// Reports come in bursts; each moves the estimate this far.
constexpr double kReportWeight = 0.6;

}  // namespace

void UpstreamLoad::OnReport(const LoadReport& report, Time now) {
  // The answered request itself has ended at the upstream already.
  const int here = std::max(0, own_ - 1);
  const double others = std::max(0, report.running + report.waiting - here);
  const double before = Expected(now) - own_;
  others_ = before + (others - before) * kReportWeight;
  reported_ = now;
}

double UpstreamLoad::Expected(Time now) const {
  const auto age = static_cast<double>((now - reported_).count());
  return own_ + others_ * std::exp(-std::max(0.0, age) / kFadeMicros);
}

}  // namespace pathcleat
