// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/forward_token.hpp"

#include <criterion/criterion.h>

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

}  // namespace
}  // namespace pathcleat
