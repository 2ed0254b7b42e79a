// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/urgency_tracker.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{Duration(1'000'000)};
constexpr int kUrgent = 0;
constexpr int kLessUrgent = 2;

// Counts `offered` first attempts of a kind, of which the first `sent` are
// sent.
void Offer(UrgencyTracker& tracker,
           const std::string& kind,
           int priority,
           int offered,
           int sent) {
  for (int i = 0; i < offered; ++i) {
    tracker.OnFirstAttempt(kind, {priority, priority}, kStart);
    if (i < sent) {
      tracker.OnSent(kind, kStart);
    }
  }
}

Test(urgency_tracker, less_urgent_kind_with_a_higher_share_is_over_served) {
  UrgencyTracker tracker;
  Offer(tracker, "urgent", kUrgent, 100, 60);
  Offer(tracker, "short", kLessUrgent, 100, 70);
  cr_assert(tracker.IsOverServed("short", kStart));
  cr_assert_not(tracker.IsOverServed("urgent", kStart));
}

Test(urgency_tracker, urgent_kind_may_have_a_higher_share) {
  UrgencyTracker tracker;
  Offer(tracker, "urgent", kUrgent, 100, 90);
  Offer(tracker, "short", kLessUrgent, 100, 10);
  cr_assert_not(tracker.IsOverServed("urgent", kStart));
  cr_assert_not(tracker.IsOverServed("short", kStart));
}

Test(urgency_tracker, equal_urgency_and_few_requests_have_no_effect) {
  UrgencyTracker tracker;
  Offer(tracker, "one", kLessUrgent, 100, 10);
  Offer(tracker, "other", kLessUrgent, 100, 90);
  cr_assert_not(tracker.IsOverServed("other", kStart));
  Offer(tracker, "rare", kUrgent, 2, 0);
  cr_assert_not(tracker.IsOverServed("other", kStart));
  cr_assert_not(tracker.IsOverServed("unknown", kStart));
}

// Fails without DecayTo.
Test(urgency_tracker, old_counts_decay) {
  UrgencyTracker tracker;
  Offer(tracker, "urgent", kUrgent, 100, 0);
  Offer(tracker, "short", kLessUrgent, 100, 100);
  cr_assert(tracker.IsOverServed("short", kStart));
  cr_assert_not(tracker.IsOverServed("short", kStart + Duration(20'000'000)));
}

Test(urgency_tracker, most_urgent_kind_is_never_over_served) {
  cr_assert(Holds("the most urgent kind never yields to another", [] {
    UrgencyTracker tracker;
    for (int priority = 0; priority < 4; ++priority) {
      const int offered = *rc::gen::inRange(0, 50);
      Offer(tracker, std::to_string(priority), priority, offered,
            *rc::gen::inRange(0, offered + 1));
    }
    RC_ASSERT(!tracker.IsOverServed("0", kStart));
  }));
}

}  // namespace
}  // namespace pathcleat
