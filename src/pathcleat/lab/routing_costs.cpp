// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include <string>

#include "pathcleat/lab/cost_curve.hpp"
#include "pathcleat/routing/upstream_picker.hpp"
#include "stopwatch.hpp"

namespace pathcleat {
namespace {

constexpr std::size_t kChoices = 2'000;
constexpr double kNanosPerMicro = 1e3;

// CPU time in nanoseconds in which a picker chooses one upstream among the
// given number of upstreams. Returns one value for each run.
std::vector<double> ChoiceNanos(int upstreams) {
  UpstreamTable table(std::map<std::string, std::string>{{"domain", "region"}});
  const Time now = BootClock::now();
  for (int i = 0; i < upstreams; ++i) {
    UpstreamInfo info;
    info.id = "upstream-" + std::to_string(i);
    info.service = "service";
    info.domain = "domain";
    table.Put(info, now);
  }
  PickerSettings settings;
  settings.domain = "domain";
  settings.region = "region";
  UpstreamPicker picker(settings, table);
  Route route;
  PickRequest request;
  request.route = &route;
  request.service = "service";
  request.sticky = true;
  request.time_left = Duration(1'000'000);
  std::vector<double> runs = TimeCalls(kChoices, [&](std::size_t i) {
    request.key = i;
    picker.Choose(request, now);
  });
  for (double& run : runs) {
    run *= kNanosPerMicro;
  }
  return runs;
}

}  // namespace

std::vector<CostCurve> MeasureRoutingCosts() {
  CostCurve curve;
  curve.name = "choice of an upstream, ns";
  curve.size_unit = "upstreams of the service";
  for (const int size : {10, 50, 100, 200, 400}) {
    curve.points.push_back(MakeCostPoint(size, ChoiceNanos(size)));
  }
  return {FitLine(curve)};
}

}  // namespace pathcleat
