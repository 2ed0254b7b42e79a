// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/upstream_load.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pathcleat {
namespace {

// Decay time of a report's difference from the usual load: about the run time
// of the other hosts' requests that it counts.
constexpr double kReportDecayMicros = 600'000;
// Time constants of the usual load by other hosts: the first for its average
// over reports, the second for its decay without reports.
constexpr double kUsualAverageMicros = 2'000'000;
constexpr double kUsualDecayMicros = 6'000'000;
// A report counts for at most this much time in the average of the usual load,
// however old the previous report is.
constexpr double kMaxReportSpanMicros = 1'000'000;
// Reports arrive in bursts, so each report moves the estimate by only this
// share of the difference between report and estimate.
constexpr double kReportWeight = 0.6;

}  // namespace

void UpstreamLoad::OnReport(const LoadReport& report, Time now) {
  // The answered request itself has ended at the upstream already.
  const int own_remaining = std::max(0, own_in_flight_ - 1);
  const double others =
      std::max(0, report.running + report.waiting - own_remaining);
  const double before = ExpectedRequests(now) - own_in_flight_;
  const double age = AgeMicros(now);
  usual_other_requests_ = UsualAt(now);
  const double span = std::min(age, kMaxReportSpanMicros);
  if (remember_usual_) {
    usual_other_requests_ += (others - usual_other_requests_) *
                             (1 - std::exp(-span / kUsualAverageMicros));
  }
  other_requests_ = before + (others - before) * kReportWeight;
  reported_at_ = now;
  if (shared_average_) {
    shared_average_->OnReport(others, now);
  }
}

double UpstreamLoad::ExpectedRequests(Time now) const {
  return EstimateWith(UsualAt(now), now);
}

double UpstreamLoad::ExpectedFromReports(Time now) const {
  return EstimateWith(OwnUsualAt(now), now);
}

double UpstreamLoad::EstimateWith(double usual, Time now) const {
  const double age = AgeMicros(now);
  return own_in_flight_ + usual +
         (other_requests_ - usual) * std::exp(-age / kReportDecayMicros);
}

double UpstreamLoad::OwnUsualAt(Time now) const {
  return usual_other_requests_ * std::exp(-AgeMicros(now) / kUsualDecayMicros);
}

// The shared average gains weight as the upstream's last report ages.
double UpstreamLoad::UsualAt(Time now) const {
  const double own = OwnUsualAt(now);
  if (!shared_average_) {
    return own;
  }
  const double unreported =
      std::max(0.0, AgeMicros(now) - kMaxReportSpanMicros);
  return own + shared_average_->Value(now) *
                   (1 - std::exp(-unreported / kUsualDecayMicros));
}

double UpstreamLoad::AgeMicros(Time now) const {
  return reported_at_
             ? std::max(0.0, static_cast<double>((now - *reported_at_).count()))
             : std::numeric_limits<double>::infinity();
}

}  // namespace pathcleat
