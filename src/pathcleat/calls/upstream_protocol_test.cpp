// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/upstream_protocol.hpp"

#include <string>

#include "property.hpp"

namespace pathcleat {
namespace {

std::optional<Duration> DeadlineOf(const std::string& text) {
  const HeaderNames names;
  const HttpRequest request{"GET", "/", {{names.deadline_ms, text}}, ""};
  return CallerTimeout(names, request);
}

// Checked to fail, by an overflow, without kLongestDeadline.
Test(upstream_protocol, deadlines_are_read_or_bounded) {
  constexpr Duration kDay = std::chrono::hours(24);
  cr_assert(DeadlineOf("2500") == Duration(2'500'000));
  cr_assert(DeadlineOf("2500.75") == Duration(2'500'000));
  cr_assert(DeadlineOf("0") == Duration(0));
  cr_assert(DeadlineOf("-1") == Duration(0));
  cr_assert(DeadlineOf("-99999999999999999999") == Duration(0));
  cr_assert(DeadlineOf("9223372036854775807") == kDay);
  cr_assert(DeadlineOf("99999999999999999999") == kDay);
}

Test(upstream_protocol, what_is_no_number_is_as_good_as_missing) {
  for (const char* text : {"", " ", "soon", "2500ms", "2500 1", "0x10", "."}) {
    cr_assert(!DeadlineOf(text).has_value(), "taken for a number: %s", text);
  }
  cr_assert(!CallerTimeout(HeaderNames(), {"GET", "/", {}, ""}).has_value());
}

Test(upstream_protocol, no_number_gives_a_time_below_zero_or_above_a_day) {
  cr_assert(Holds("0 <= deadline <= a day", [] {
    const auto value = *rc::gen::arbitrary<std::int64_t>();
    const auto deadline = DeadlineOf(std::to_string(value));
    RC_ASSERT(deadline.has_value());
    RC_ASSERT(*deadline >= Duration(0));
    RC_ASSERT(*deadline <= std::chrono::hours(24));
  }));
}

RateLimitHeader LimitOf(const std::vector<std::string>& values) {
  HttpResponse response;
  for (const std::string& value : values) {
    response.headers.push_back({HeaderNames().rate_limit, value});
  }
  return ParseRateLimit(HeaderNames(), response);
}

// Guards against a limit that is none and stops all sending, or ends one.
Test(upstream_protocol, limit_that_is_no_number_is_told_from_none) {
  cr_assert_not(LimitOf({}).present);
  for (const std::string bad :
       {"", "-1", "nan", "inf", "1e999", "soon", "2,5", "1.5 a second", "+2"}) {
    const RateLimitHeader field = LimitOf({bad});
    cr_assert(field.present);
    cr_assert_not(field.per_second.has_value(), "%s", bad.c_str());
  }
  cr_assert_float_eq(LimitOf({"1.7"}).per_second.value(), 1.7, 1e-9);
  cr_assert_float_eq(LimitOf({"0"}).per_second.value(), 0, 1e-9);
  cr_assert_float_eq(LimitOf({"2", "1", "x"}).per_second.value(), 1, 1e-9);
}

}  // namespace
}  // namespace pathcleat
