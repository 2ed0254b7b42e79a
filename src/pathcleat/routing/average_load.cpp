// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/average_load.hpp"

#include <algorithm>
#include <cmath>

namespace pathcleat {
namespace {

// As for the usual load of one upstream: bursts last a few seconds.
constexpr double kFadeMicros = 2'000'000;
// No load is assumed with the weight of one report: a single one proves
// little, and after a silence the average falls to nothing.
constexpr double kIdleReports = 1;

}  // namespace

double AverageLoad::FadedBy(Time now) const {
  const auto age = static_cast<double>((now - faded_).count());
  return std::exp(-std::max(0.0, age) / kFadeMicros);
}

void AverageLoad::OnReport(double others, Time now) {
  const double faded = FadedBy(now);
  reports_ = reports_ * faded + 1;
  sum_ = sum_ * faded + others;
  faded_ = now;
}

double AverageLoad::Value(Time now) const {
  const double faded = FadedBy(now);
  return sum_ * faded / (reports_ * faded + kIdleReports);
}

}  // namespace pathcleat
