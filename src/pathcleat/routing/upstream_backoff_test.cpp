// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/upstream_backoff.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{std::chrono::hours(1)};
constexpr Duration kSecond{1'000'000};

Test(upstream_backoff, nothing_is_sent_for_the_time_asked) {
  UpstreamBackoff backoff;
  cr_assert(backoff.MaySend(kStart));
  cr_assert(backoff.Start(3 * kSecond, 0, kStart));
  cr_assert_not(backoff.MaySend(kStart + 3 * kSecond - Duration(1)));
  cr_assert(backoff.MaySend(kStart + 3 * kSecond));
}

// Guards against a second, shorter time that ends the first one early.
Test(upstream_backoff, longest_time_applies) {
  UpstreamBackoff backoff;
  backoff.Start(3 * kSecond, 0, kStart);
  cr_assert_not(backoff.Start(kSecond, 0, kStart + kSecond));
  cr_assert_not(backoff.MaySend(kStart + 2 * kSecond));
  cr_assert(backoff.Start(3 * kSecond, 0, kStart + 2 * kSecond));
  cr_assert_not(backoff.MaySend(kStart + 4 * kSecond));
}

// Guards against an upstream that is overloaded again at once, as all requests
// return to it in one moment.
Test(upstream_backoff, one_trial_at_a_time_until_a_request_is_accepted) {
  UpstreamBackoff backoff;
  backoff.Start(kSecond, 0, kStart);
  const Time after = kStart + kSecond;
  cr_assert(backoff.OnSent(after));
  cr_assert_not(backoff.MaySend(after));
  // The answer to a request from before says nothing about the present.
  backoff.OnAccepted(kStart - kSecond);
  cr_assert_not(backoff.MaySend(after));
  backoff.OnTrialEnded();
  cr_assert(backoff.MaySend(after));
  cr_assert(backoff.OnSent(after));
  backoff.OnTrialEnded();
  backoff.OnAccepted(after);
  cr_assert_not(backoff.OnSent(after));
  cr_assert(backoff.MaySend(after));
}

// Guards against hosts that return to the upstream in the same moment.
Test(upstream_backoff, hosts_return_one_after_the_other_and_never_early) {
  cr_assert(Holds("never early, never much later", [] {
    const auto asked = Duration(*rc::gen::inRange(1, 100'000'000));
    const double spread = *rc::gen::inRange(0, 1'000) / 1'000.0;
    UpstreamBackoff backoff;
    backoff.Start(asked, spread, kStart);
    RC_ASSERT(backoff.until() >= kStart + asked);
    RC_ASSERT(backoff.until() <= kStart + asked + kSecond);
  }));
  UpstreamBackoff first;
  UpstreamBackoff last;
  first.Start(3 * kSecond, 0, kStart);
  last.Start(3 * kSecond, 0.9, kStart);
  cr_assert_geq(last.until() - first.until(), kSecond / 2);
}

// Guards against an upstream that is never used again.
Test(upstream_backoff, excessive_time_is_cut) {
  UpstreamBackoff backoff;
  backoff.Start(std::chrono::hours(24 * 365), 0, kStart);
  cr_assert(backoff.MaySend(kStart + std::chrono::hours(1)));
}

}  // namespace
}  // namespace pathcleat
