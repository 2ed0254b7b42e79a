// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/telemetry/memory_monitor.hpp"

#include "event_loop.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>

namespace pathcleat {
namespace {

struct MonitorFixture {
  MonitorFixture() { SilenceLog(); }

  void Refuse() {
    MemoryLease lease(budget, MemoryUse::kRequests);
    cr_assert_not(lease.Resize(budget->limit() + 1, now));
  }

  void Advance(Duration time) {
    now += time;
    monitor.Tick(*budget, now);
  }

  std::ptrdiff_t Count(EventCode code) const {
    const auto kept = events.Snapshot();
    return std::count_if(kept.begin(), kept.end(), [code](const Event& event) {
      return event.code == code;
    });
  }

  EventLog events{"host", 100};
  MemoryBudgetPtr budget = std::make_shared<MemoryBudget>(1'000);
  MemoryMonitor monitor{events, "host"};
  Time now{std::chrono::seconds(100)};
};

constexpr Duration kTick{250'000};

// Guards against a log line for each refusal.
Test(memory_monitor, a_shortage_is_logged_at_its_start_and_end) {
  MonitorFixture fixture;
  fixture.Advance(kTick);
  cr_assert_eq(fixture.Count(EventCode::kMemoryUsedUp), 0);
  for (int i = 0; i < 20; ++i) {
    fixture.Refuse();
    fixture.Advance(kTick);
  }
  cr_assert_eq(fixture.Count(EventCode::kMemoryUsedUp), 1);
  fixture.Advance(MemoryMonitor::kQuietTime - kTick);
  cr_assert_eq(fixture.Count(EventCode::kMemoryAvailable), 0);
  fixture.Advance(kTick);
  cr_assert_eq(fixture.Count(EventCode::kMemoryAvailable), 1);
  fixture.Refuse();
  fixture.Advance(kTick);
  cr_assert_eq(fixture.Count(EventCode::kMemoryUsedUp), 2);
}

}  // namespace
}  // namespace pathcleat
