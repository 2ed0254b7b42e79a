// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/urgency_tracker.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{Duration(1'000'000)};
constexpr int kUrgent = 0;
constexpr int kLessUrgent = 2;

// Offers of a kind, of which the first so many are sent on.
void Offer(UrgencyTracker& ledger,
           const std::string& kind,
           int priority,
           int offered,
           int sent) {
  for (int i = 0; i < offered; ++i) {
    ledger.OnFirstAttempt(kind, {priority, priority}, kStart);
    if (i < sent) {
      ledger.OnSent(kind, kStart);
    }
  }
}

Test(urgency_ledger, less_urgent_kind_that_is_sent_more_often_is_ahead) {
  UrgencyTracker ledger;
  Offer(ledger, "urgent", kUrgent, 100, 60);
  Offer(ledger, "short", kLessUrgent, 100, 70);
  cr_assert(ledger.IsOverServed("short", kStart));
  cr_assert_not(ledger.IsOverServed("urgent", kStart));
}

Test(urgency_ledger, urgent_kind_may_be_sent_more_often) {
  UrgencyTracker ledger;
  Offer(ledger, "urgent", kUrgent, 100, 90);
  Offer(ledger, "short", kLessUrgent, 100, 10);
  cr_assert_not(ledger.IsOverServed("urgent", kStart));
  cr_assert_not(ledger.IsOverServed("short", kStart));
}

Test(urgency_ledger, kinds_of_one_urgency_and_few_requests_bind_nobody) {
  UrgencyTracker ledger;
  Offer(ledger, "one", kLessUrgent, 100, 10);
  Offer(ledger, "other", kLessUrgent, 100, 90);
  cr_assert_not(ledger.IsOverServed("other", kStart));
  Offer(ledger, "rare", kUrgent, 2, 0);
  cr_assert_not(ledger.IsOverServed("other", kStart));
  cr_assert_not(ledger.IsOverServed("unknown", kStart));
}

// Checked to fail with FadeTo doing nothing.
Test(urgency_ledger, what_was_long_ago_is_forgotten) {
  UrgencyTracker ledger;
  Offer(ledger, "urgent", kUrgent, 100, 0);
  Offer(ledger, "short", kLessUrgent, 100, 100);
  cr_assert(ledger.IsOverServed("short", kStart));
  cr_assert_not(ledger.IsOverServed("short", kStart + Duration(20'000'000)));
}

Test(urgency_ledger, most_urgent_kind_is_never_ahead) {
  cr_assert(Holds("the most urgent kind is held back for nobody", [] {
    UrgencyTracker ledger;
    for (int priority = 0; priority < 4; ++priority) {
      const int offered = *rc::gen::inRange(0, 50);
      Offer(ledger, std::to_string(priority), priority, offered,
            *rc::gen::inRange(0, offered + 1));
    }
    RC_ASSERT(!ledger.IsOverServed("0", kStart));
  }));
}

}  // namespace
}  // namespace pathcleat
