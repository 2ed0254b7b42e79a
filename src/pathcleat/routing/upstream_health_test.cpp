// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/upstream_health.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{Duration(1'000'000)};
constexpr Duration kExpected{200'000};

// Guards against an upstream that stops without closing its connections and
// gets requests until the first of them times out. Fails without IsSilent.
Test(upstream_health, silent_upstream_gets_no_requests_until_it_answers) {
  UpstreamHealth health;
  health.OnSent(kExpected, kStart);
  cr_assert(health.MayTry(kStart + Duration(500'000)));
  cr_assert_not(health.MayTry(kStart + Duration(700'000)));
  health.OnResponse(kStart + Duration(800'000));
  cr_assert(health.MayTry(kStart + Duration(900'000)));
}

Test(upstream_health, long_expected_latency_extends_the_silence_timeout) {
  UpstreamHealth health;
  health.OnSent(kExpected * 10, kStart);
  cr_assert(health.MayTry(kStart + Duration(5'000'000)));
}

Test(upstream_health, idle_upstream_is_never_silent) {
  UpstreamHealth health;
  health.OnSent(kExpected, kStart);
  health.OnEnded();
  cr_assert(health.MayTry(kStart + Duration(60'000'000)));
  // Idle time before the next request does not count as silence.
  health.OnSent(kExpected, kStart + Duration(60'000'000));
  cr_assert(health.MayTry(kStart + Duration(60'100'000)));
}

Test(upstream_health, suspect_is_probed_by_one_request_at_a_time) {
  UpstreamHealth health;
  health.OnFailure(kStart);
  cr_assert(health.MayTry(kStart));
  health.OnFailure(kStart);
  cr_assert_not(health.MayTry(kStart));
  const Time later = kStart + Duration(600'000);
  cr_assert(health.MayTry(later));
  health.OnSent(kExpected, later);
  cr_assert_not(health.MayTry(later));
  health.OnSuccess();
  cr_assert(health.MayTry(later));
}

}  // namespace
}  // namespace pathcleat
