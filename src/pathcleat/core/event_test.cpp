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

Test(event, catalogue_page_lists_exactly_the_codes_events) {
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

Test(event, json_line_survives_bytes_that_are_no_text) {
  Event event;
  event.subject = "\xff\xfe\"\n";
  const std::string line = ToJsonLine(event);
  cr_assert_eq(line.find('\n'), std::string::npos);
  cr_assert_neq(line.find("PC1001"), std::string::npos);
}

Test(hybrid_clock, message_is_after_its_sending_and_time_never_goes_back) {
  cr_assert(Holds("any wall clocks, also ones that jump back", [] {
    HybridClock a;
    HybridClock b;
    HybridTime last_a;
    HybridTime last_b;
    const auto walls = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 100), rc::gen::inRange(0, 100)));
    for (const auto& [wall_a, wall_b] : walls) {
      const HybridTime sent = a.Tick(static_cast<std::uint64_t>(wall_a));
      const HybridTime taken =
          b.Observe(sent, static_cast<std::uint64_t>(wall_b));
      RC_ASSERT(sent > last_a);
      RC_ASSERT(taken > last_b);
      RC_ASSERT(taken > sent);
      last_a = sent;
      last_b = taken;
    }
  }));
}

}  // namespace
}  // namespace pathcleat
