// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/slope.hpp"
#include "pathcleat/steer/owner_table.hpp"
#include "pathcleat/steer/pool_router.hpp"
#include "stopwatch.hpp"

namespace pathcleat {
namespace {

constexpr ServiceIndex kService{0};

Slope OwnerSlope() {
  Slope cost{"owner: submit, grant and release, CPU us",
             "owned instances",
             {},
             0,
             0,
             0};
  for (const int instances : {4, 8, 16, 32, 64}) {
    OwnerTable table{OwnerOptions{}};
    for (std::uint16_t i = 0; i < instances; ++i) {
      table.slots().Add({i}, kService, 2, Time{});
    }
    std::uint64_t sequence = 0;
    cost.points.push_back(PointOf(
        instances, TimeCalls(20'000, [&](std::size_t) {
          const WorkItem item{RequestId{1, ++sequence, 0}, kService,
                              Priority::kLookup, Time(Duration(1'000'000))};
          const auto actions = table.Submit(item, Time{});
          table.Release(actions.grants[0].token, SlotUse::kAnswered,
                        Duration(10'000), Time{});
        })));
  }
  return Fitted(cost);
}

Slope RouterSlope() {
  Slope cost{"router: one choice, CPU us", "candidates", {}, 0, 0, 0};
  std::mt19937_64 random(1);
  for (const std::uint32_t count : {6U, 12U, 25U, 50U, 151U}) {
    std::vector<RouteCandidate> candidates;
    for (std::uint32_t i = 0; i < count; ++i) {
      PoolView view;
      view.load = {48, static_cast<int>(i % 48), 0, Duration(20'000)};
      candidates.push_back({i, Duration(1'000), view});
    }
    cost.points.push_back(PointOf(count, TimeCalls(5'000, [&](std::size_t) {
                                    ChooseRoute(RoutePolicy::kExpectedTime,
                                                candidates, Time{}, random,
                                                false);
                                  })));
  }
  return Fitted(cost);
}

}  // namespace

std::vector<Slope> OwnerSlopes() {
  return {OwnerSlope(), RouterSlope()};
}

}  // namespace pathcleat
