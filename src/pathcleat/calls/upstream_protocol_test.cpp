// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/upstream_protocol.hpp"

#include <string>

#include "pathcleat/core/outside_bounds.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

std::optional<Duration> ParseTimeout(const std::string& text) {
  const HeaderNames names;
  const HttpRequest request{"GET", "/", {{names.deadline_ms, text}}, ""};
  return CallerTimeout(names, request);
}

// Guards against overflow from huge deadlines. Fails without the upper bound.
Test(upstream_protocol, caller_timeouts_are_parsed_and_clamped) {
  constexpr Duration kDay = std::chrono::hours(24);
  cr_assert(ParseTimeout("2500") == Duration(2'500'000));
  cr_assert(ParseTimeout("2500.75") == Duration(2'500'000));
  cr_assert(ParseTimeout("0") == Duration(0));
  cr_assert(ParseTimeout("-1") == Duration(0));
  cr_assert(ParseTimeout("-99999999999999999999") == Duration(0));
  cr_assert(ParseTimeout("9223372036854775807") == kDay);
  cr_assert(ParseTimeout("99999999999999999999") == kDay);
}

Test(upstream_protocol, invalid_caller_timeouts_count_as_missing) {
  for (const char* text : {"", " ", "soon", "2500ms", "2500 1", "0x10", "."}) {
    cr_assert(!ParseTimeout(text).has_value(), "accepted as a number: %s",
              text);
  }
  cr_assert(!CallerTimeout(HeaderNames(), {"GET", "/", {}, ""}).has_value());
}

Test(upstream_protocol, any_number_gives_a_timeout_from_zero_to_a_day) {
  cr_assert(Holds("0 <= deadline <= a day", [] {
    const auto value = *rc::gen::arbitrary<std::int64_t>();
    const auto timeout = ParseTimeout(std::to_string(value));
    RC_ASSERT(timeout.has_value());
    RC_ASSERT(*timeout >= Duration(0));
    RC_ASSERT(*timeout <= std::chrono::hours(24));
  }));
}

RateLimitHeader ParseLimits(const std::vector<std::string>& values) {
  HttpResponse response;
  for (const std::string& value : values) {
    response.headers.push_back({HeaderNames().rate_limit, value});
  }
  return ParseRateLimit(HeaderNames(), response);
}

// Guards against an invalid limit that stops all sending, or that ends a valid
// limit stated before.
Test(upstream_protocol, invalid_limits_differ_from_missing_ones) {
  cr_assert_not(ParseLimits({}).present);
  for (const std::string bad :
       {"", "-1", "nan", "inf", "1e999", "soon", "2,5", "1.5 a second", "+2"}) {
    const RateLimitHeader field = ParseLimits({bad});
    cr_assert(field.present);
    cr_assert_not(field.per_second.has_value(), "%s", bad.c_str());
  }
  cr_assert_float_eq(ParseLimits({"1.7"}).per_second.value(), 1.7, 1e-9);
  cr_assert_float_eq(ParseLimits({"0"}).per_second.value(), 0, 1e-9);
  cr_assert_float_eq(ParseLimits({"2", "1", "x"}).per_second.value(), 1, 1e-9);
}

HttpResponse RejectionWith(const std::vector<std::string>& values,
                           int status = 503) {
  HttpResponse response;
  response.status = status;
  for (const std::string& value : values) {
    response.headers.push_back({"Retry-After", value});
  }
  return response;
}

// Guards against a value that stops all sending for good or crashes this host.
Test(upstream_protocol, invalid_retry_after_differs_from_a_missing_one) {
  cr_assert_not(ParseRetryAfter(RejectionWith({})).present);
  for (const std::string bad : {"", "-1", "-0.5", "nan", "inf", "1e999", "soon",
                                "Thu, 03 Dec 2026 16:00:00 GMT", "3 s"}) {
    const RetryAfterHeader field = ParseRetryAfter(RejectionWith({bad}));
    cr_assert(field.present);
    cr_assert_not(field.delay.has_value(), "%s", bad.c_str());
  }
  const auto delay_of = [](const std::vector<std::string>& values) {
    return ParseRetryAfter(RejectionWith(values)).delay;
  };
  cr_assert(delay_of({"0.7"}) == Duration(700'000));
  cr_assert(delay_of({"0"}) == Duration(0));
  cr_assert(delay_of({"1", "3", "x"}) == Duration(3'000'000));
  cr_assert(delay_of({"1e300"}) <= std::chrono::hours(24));
}

// A caller beyond its limit is told so by status 429, which concerns no other
// caller.
Test(upstream_protocol, only_retry_after_of_status_503_is_read) {
  for (const int status : {200, 429, 500}) {
    cr_assert_not(ParseRetryAfter(RejectionWith({"3"}, status)).present);
  }
}

std::optional<LoadReport> ParseLoad(const std::string& text) {
  HttpResponse response;
  response.headers.push_back({HeaderNames().load, text});
  return ParseLoadReport(HeaderNames(), response);
}

// Guards against an upstream's numbers whose sum overflows.
Test(upstream_protocol, load_reports_are_in_range_or_invalid) {
  constexpr const char* kMax = "2147483647,2147483647,2147483647";
  cr_assert_eq(ParseLoad("3,1,8").value().waiting, 1);
  cr_assert_eq(ParseLoad(kMax).value().running, kMaxOutsideCount);
  cr_assert_eq(ParseLoad(kMax).value().slots, kMaxOutsideCount);
  for (const std::string bad : {"", "3", "3,1", "-1,2,3", "1,-2147483648,3",
                                "nan,1,1", "2147483648,1,1"}) {
    cr_assert_not(ParseLoad(bad).has_value(), "%s", bad.c_str());
  }
}

// Guards against a limit that is no number once hosts have sent it to each
// other as a float.
Test(upstream_protocol, large_limits_are_clamped) {
  cr_assert_eq(ParseLimits({"1e308"}).per_second.value(), kMaxOutsideQuantity);
}

}  // namespace
}  // namespace pathcleat
