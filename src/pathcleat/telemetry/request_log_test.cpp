// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/telemetry/request_log.hpp"

#include "event_loop.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{Duration(1'000'000)};

struct LogFixture {
  LogFixture() { SilenceLog(); }
  std::vector<Event> EventsOf(const std::string& id) {
    return {events.MakeEvent(EventCode::kRequestTaken, id, "", {})};
  }
  EventLog events{"host", 100'000};
  RequestLog log{events, RequestLogSettings{}};
};

// Guards against hosts that sample different requests: the log of a request
// that several hosts handled would then be incomplete.
Test(request_log, all_hosts_sample_the_same_successful_requests) {
  LogFixture first_host;
  LogFixture second_host;
  constexpr int kRequests = 5'000;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "request-" + std::to_string(i);
    first_host.log.LogRequest(id, false, first_host.EventsOf(id), kStart);
    second_host.log.LogRequest(id, false, second_host.EventsOf(id), kStart);
  }
  const auto first_events = first_host.events.Snapshot();
  const auto second_events = second_host.events.Snapshot();
  cr_assert_gt(first_events.size(), 0U);
  cr_assert_lt(first_events.size(), kRequests / 50U);
  cr_assert_eq(first_events.size(), second_events.size());
  for (std::size_t i = 0; i < first_events.size(); ++i) {
    cr_assert_str_eq(first_events[i].subject.c_str(),
                     second_events[i].subject.c_str());
  }
}

Test(request_log, sample_of_one_in_one_logs_every_request) {
  LogFixture fixture;
  RequestLogSettings settings;
  settings.sample_one_of = 1;
  RequestLog log(fixture.events, settings);
  constexpr std::size_t kRequests = 500;
  for (std::size_t i = 0; i < kRequests; ++i) {
    const std::string id = "request-" + std::to_string(i);
    log.LogRequest(id, false, fixture.EventsOf(id), kStart);
  }
  cr_assert_eq(fixture.events.Snapshot().size(), kRequests);
}

// Guards against a log flooded by an incident, and against failures that are
// left out without being counted.
Test(request_log, failures_are_logged_up_to_a_rate_and_the_rest_counted) {
  LogFixture fixture;
  constexpr std::uint64_t kFailures = 10'000;
  for (std::uint64_t i = 0; i < kFailures; ++i) {
    const std::string id = "request-" + std::to_string(i);
    fixture.log.LogRequest(id, true, fixture.EventsOf(id), kStart);
  }
  const std::size_t first_events = fixture.events.Snapshot().size();
  cr_assert_gt(first_events, 100U);
  cr_assert_lt(first_events, 1'000U);
  cr_assert_eq(first_events + fixture.log.suppressed_failures(), kFailures);
}

}  // namespace
}  // namespace pathcleat
