// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/event.hpp"

#include <fstream>
#include <sstream>

#include <limits>

#include "property.hpp"

namespace pathcleat {
namespace {

std::string SeverityName(Severity severity) {
  switch (severity) {
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kAlarm:
      return "alarm";
  }
  return "";
}

Test(event, catalogue_page_lists_exactly_the_events_of_the_code) {
  std::ifstream stream(std::string(PATHCLEAT_SOURCE_DIR) + "/docs/EVENTS.md");
  std::ostringstream text;
  text << stream.rdbuf();
  const std::string page = text.str();
  std::size_t rows = 0;
  for (std::size_t at = page.find("\n| PC"); at != std::string::npos;
       at = page.find("\n| PC", at + 1)) {
    ++rows;
  }
  cr_assert_eq(rows, EventCatalogue().size());
  for (const EventInfo& info : EventCatalogue()) {
    const std::string row = "| " + ToString(info.code) + " | " + info.name +
                            " | " + SeverityName(info.severity) + " |";
    cr_assert_neq(page.find(row), std::string::npos, "%s", row.c_str());
  }
}

Test(event, json_line_accepts_bytes_that_are_not_utf8) {
  Event event;
  event.subject = "\xff\xfe\"\n";
  const std::string line = ToJsonLine(event);
  cr_assert_eq(line.find('\n'), std::string::npos);
  cr_assert_neq(line.find("PC1001"), std::string::npos);
}

Test(hybrid_clock, receipt_is_ordered_after_sending_and_time_never_goes_back) {
  cr_assert(Holds("any wall clocks, also ones that jump back", [] {
    HybridClock sender;
    HybridClock receiver;
    HybridTime last_sent;
    HybridTime last_received;
    const auto walls = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 100), rc::gen::inRange(0, 100)));
    for (const auto& [sender_wall, receiver_wall] : walls) {
      const HybridTime sent =
          sender.Tick(static_cast<std::uint64_t>(sender_wall));
      const HybridTime received =
          receiver.Observe(sent, static_cast<std::uint64_t>(receiver_wall));
      RC_ASSERT(sent > last_sent);
      RC_ASSERT(received > last_received);
      RC_ASSERT(received > sent);
      last_sent = sent;
      last_received = received;
    }
  }));
}

// Guards against one host with a wrong clock, or one odd message, that sets the
// times of all hosts to the end of the range, where they can't grow.
Test(hybrid_clock, time_far_ahead_is_not_taken_over) {
  constexpr std::uint64_t kNow = 1'800'000'000'000'000;
  constexpr std::uint64_t kDay = 86'400'000'000;
  constexpr auto kMax = std::numeric_limits<std::uint64_t>::max();
  HybridClock clock;
  cr_assert_eq(clock.Observe({kMax, 0}, kNow).micros, kNow);
  cr_assert_eq(clock.Observe({kNow + kDay + 1, 0}, kNow).micros, kNow);
  cr_assert_eq(clock.Observe({kNow + kDay, 0}, kNow).micros, kNow + kDay);
}

// Guards against a time that goes back because its counter has wrapped.
Test(hybrid_clock, full_counter_is_carried) {
  constexpr auto kMax = std::numeric_limits<std::uint32_t>::max();
  HybridClock clock;
  const HybridTime first = clock.Observe({1'000, kMax - 1}, 900);
  const HybridTime second = clock.Tick(900);
  const HybridTime third = clock.Observe({1'000, kMax}, 900);
  cr_assert(first > (HybridTime{1'000, kMax - 1}));
  cr_assert(second > first);
  cr_assert(third > second);
}

// Guards against a line of a log that ends the program that reads it.
Test(hybrid_clock, any_text_is_read_as_a_time) {
  cr_assert(ParseHybridTime("12.3") == (HybridTime{12, 3}));
  for (const std::string text :
       {"", ".", "x", "x.y", "-1.-2", "99999999999999999999.99999999999"}) {
    cr_assert(ParseHybridTime(text) == HybridTime{}, "%s", text.c_str());
  }
}

}  // namespace
}  // namespace pathcleat
