// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/average_load.hpp"

#include <algorithm>
#include <cmath>

namespace pathcleat {
namespace {

// Decay time of the average: bursts last a few seconds, as for the usual load
// of one upstream.
constexpr double kDecayMicros = 2'000'000;
// The average includes this many assumed reports of an idle upstream. They
// limit the effect of a single report, and let the average fall to zero without
// new reports.
constexpr double kAssumedIdleReports = 1;

}  // namespace

double AverageLoad::DecayFactor(Time now) const {
  const auto age = static_cast<double>((now - decayed_at_).count());
  return std::exp(-std::max(0.0, age) / kDecayMicros);
}

void AverageLoad::OnReport(double other_requests, Time now) {
  const double decay = DecayFactor(now);
  reports_ = reports_ * decay + 1;
  sum_ = sum_ * decay + other_requests;
  decayed_at_ = now;
}

double AverageLoad::Value(Time now) const {
  const double decay = DecayFactor(now);
  return sum_ * decay / (reports_ * decay + kAssumedIdleReports);
}

}  // namespace pathcleat
