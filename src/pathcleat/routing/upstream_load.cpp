// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/upstream_load.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pathcleat {
namespace {

// A report tells of others' requests, which last about as long as a request
// runs; what it differs from the usual is forgotten after that.
constexpr double kFadeMicros = 600'000;
// The usual load by others: learnt over this time, and forgotten over that.
constexpr double kLearnMicros = 2'000'000;
constexpr double kForgetMicros = 6'000'000;
// A report tells of no longer time than this, however old the last one is.
constexpr double kLongestReportMicros = 1'000'000;
// Reports come in bursts; each moves the estimate this far.
constexpr double kReportWeight = 0.6;

}  // namespace

void UpstreamLoad::OnReport(const LoadReport& report, Time now) {
  // The answered request itself has ended at the upstream already.
  const int here = std::max(0, own_ - 1);
  const double others = std::max(0, report.running + report.waiting - here);
  const double before = ExpectedRequests(now) - own_;
  const double age = AgeMicros(now);
  usual_ = UsualAt(now);
  const double told = std::min(age, kLongestReportMicros);
  if (remember_usual_) {
    usual_ += (others - usual_) * (1 - std::exp(-told / kLearnMicros));
  }
  others_ = before + (others - before) * kReportWeight;
  reported_ = now;
  if (average_) {
    average_->OnReport(others, now);
  }
}

double UpstreamLoad::ExpectedRequests(Time now) const {
  return With(UsualAt(now), now);
}

double UpstreamLoad::ExpectedFromReports(Time now) const {
  return With(OwnUsualAt(now), now);
}

double UpstreamLoad::With(double usual, Time now) const {
  const double age = AgeMicros(now);
  return own_ + usual + (others_ - usual) * std::exp(-age / kFadeMicros);
}

double UpstreamLoad::OwnUsualAt(Time now) const {
  return usual_ * std::exp(-AgeMicros(now) / kForgetMicros);
}

// An upstream that was heard of lately speaks for itself.
double UpstreamLoad::UsualAt(Time now) const {
  const double own = OwnUsualAt(now);
  if (!average_) {
    return own;
  }
  const double silent = std::max(0.0, AgeMicros(now) - kLongestReportMicros);
  return own + average_->Value(now) * (1 - std::exp(-silent / kForgetMicros));
}

double UpstreamLoad::AgeMicros(Time now) const {
  return reported_
             ? std::max(0.0, static_cast<double>((now - *reported_).count()))
             : std::numeric_limits<double>::infinity();
}

}  // namespace pathcleat
