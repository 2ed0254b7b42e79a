// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/forward_token.hpp"

#include <criterion/criterion.h>

#include <limits>

#include "pathcleat/core/outside_bounds.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

const HttpRequest kRequest{"POST", "/s/write/x", {}, "body"};
const ForwardContext kContext{"host-a",  "10.0.0.7", "club", "s",
                              2'000'000, 1'500'000,  2};

Test(forward_token, carries_the_context) {
  const std::string token = MakeForwardToken(kContext, kRequest, "key");
  const auto read = ReadForwardToken(token, kRequest, "key");
  cr_assert(read.has_value());
  cr_assert_eq(read->from_host, "host-a");
  cr_assert_eq(read->caller_ip, "10.0.0.7");
  cr_assert_eq(read->account, "club");
  cr_assert_eq(read->service, "s");
  cr_assert_eq(read->caller_timeout_us, 2'000'000);
  cr_assert_eq(read->time_left_us, 1'500'000);
  cr_assert_eq(read->attempts_left, 2);
}

// Guards against a caller that names an account, or evades a limit, with a
// token of its own or of another request.
Test(forward_token, holds_for_its_request_and_key_alone) {
  const std::string token = MakeForwardToken(kContext, kRequest, "key");
  for (const HttpRequest& other :
       {HttpRequest{"GET", "/s/write/x", {}, "body"},
        HttpRequest{"POST", "/s/write/y", {}, "body"},
        HttpRequest{"POST", "/s/write/x", {}, "other"}}) {
    cr_assert_not(ReadForwardToken(token, other, "key").has_value());
  }
  cr_assert_not(ReadForwardToken(token, kRequest, "other").has_value());
  cr_assert_not(ReadForwardToken(token, kRequest, "").has_value());
}

Test(forward_token, property_any_other_text_is_no_token) {
  cr_assert(Holds("any other text is no token", [](std::string text) {
    RC_ASSERT(!ReadForwardToken(text, kRequest, "key").has_value());
  }));
}

// Guards against numbers of another host with which the arithmetic of a request
// overflows.
Test(forward_token, numbers_out_of_range_are_clamped) {
  constexpr auto kMin = std::numeric_limits<std::int64_t>::min();
  constexpr auto kMax = std::numeric_limits<std::int64_t>::max();
  ForwardContext sent = kContext;
  sent.caller_timeout_us = kMax;
  sent.time_left_us = kMin;
  sent.attempts_left = std::numeric_limits<std::int32_t>::min();
  const std::string token = MakeForwardToken(sent, kRequest, "key");
  const auto read = ReadForwardToken(token, kRequest, "key");
  cr_assert(read.has_value());
  cr_assert_eq(read->caller_timeout_us, kMaxOutsideDuration.count());
  cr_assert_eq(read->time_left_us, 0);
  cr_assert_eq(read->attempts_left, 0);
}

}  // namespace
}  // namespace pathcleat
