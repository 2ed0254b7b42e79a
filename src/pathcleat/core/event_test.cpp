// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/event.hpp"

#include <fstream>
#include <sstream>

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

}  // namespace
}  // namespace pathcleat
