// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/telemetry/request_log.hpp"

#include "event_loop.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{Duration(1'000'000)};

struct LogWorld {
  LogWorld() { SilenceLog(); }
  std::vector<Event> EventsOf(const std::string& id) {
    return {events.MakeEvent(EventCode::kRequestTaken, id, "", {})};
  }
  EventLog events{"host", 100'000};
  RequestLog log{events, RequestLogSettings{}};
};

Test(request_log, all_hosts_keep_the_same_of_those_that_go_well) {
  LogWorld here;
  LogWorld there;
  constexpr int kRequests = 5'000;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "request-" + std::to_string(i);
    here.log.LogRequest(id, false, here.EventsOf(id), kStart);
    there.log.LogRequest(id, false, there.EventsOf(id), kStart);
  }
  const auto kept = here.events.Snapshot();
  const auto kept_there = there.events.Snapshot();
  cr_assert_gt(kept.size(), 0U);
  cr_assert_lt(kept.size(), kRequests / 50U);
  cr_assert_eq(kept.size(), kept_there.size());
  for (std::size_t i = 0; i < kept.size(); ++i) {
    cr_assert_str_eq(kept[i].subject.c_str(), kept_there[i].subject.c_str());
  }
}

Test(request_log, all_are_kept_where_the_settings_ask_for_it) {
  LogWorld world;
  RequestLogSettings settings;
  settings.sample_one_of = 1;
  RequestLog log(world.events, settings);
  constexpr std::size_t kRequests = 500;
  for (std::size_t i = 0; i < kRequests; ++i) {
    const std::string id = "request-" + std::to_string(i);
    log.LogRequest(id, false, world.EventsOf(id), kStart);
  }
  cr_assert_eq(world.events.Snapshot().size(), kRequests);
}

Test(request_log, failures_are_kept_up_to_a_rate_and_the_rest_counted) {
  LogWorld world;
  constexpr std::uint64_t kFailures = 10'000;
  for (std::uint64_t i = 0; i < kFailures; ++i) {
    const std::string id = "request-" + std::to_string(i);
    world.log.LogRequest(id, true, world.EventsOf(id), kStart);
  }
  const std::size_t kept = world.events.Snapshot().size();
  cr_assert_gt(kept, 100U);
  cr_assert_lt(kept, 1'000U);
  cr_assert_eq(kept + world.log.suppressed_failures(), kFailures);
}

}  // namespace
}  // namespace pathcleat
