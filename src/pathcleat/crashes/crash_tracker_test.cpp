// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/crashes/crash_tracker.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <utility>
#include <vector>

#include "pathcleat/core/hash.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr RequestDigest kRequest = 7;
constexpr RequestDigest kOther = 8;

Time At(Duration since) {
  return Time(std::chrono::hours(10)) + since;
}

bool IsBlocked(const CrashTracker& ledger, Time now) {
  return ledger.Decide(kRequest, now).blocked;
}

void Block(CrashTracker& ledger, Time now) {
  for (std::uint64_t upstream = 1; upstream <= kCrashBlockThreshold;
       ++upstream) {
    ledger.OnCrash(kRequest, upstream, now);
  }
}

Test(crash_ledger, third_upstream_that_ends_blocks_the_request_alone) {
  CrashTracker ledger("a", "a-1");
  ledger.OnCrash(kRequest, 1, At(seconds(0)));
  ledger.OnCrash(kRequest, 2, At(seconds(1)));
  cr_assert_not(IsBlocked(ledger, At(seconds(1))));
  ledger.OnCrash(kRequest, 3, At(seconds(2)));
  cr_assert(IsBlocked(ledger, At(seconds(2))));
  cr_assert_not(ledger.Decide(kOther, At(seconds(2))).blocked);
  cr_assert_eq(ledger.Decide(kRequest, At(seconds(2))).retry_after, minutes(1));
}

// Guards against one crash that counts for each host that saw it.
Test(crash_ledger, one_upstream_counts_once) {
  CrashTracker ledger("a", "a-1");
  for (int i = 0; i < 5; ++i) {
    ledger.OnCrash(kRequest, 1, At(seconds(i)));
  }
  cr_assert_eq(ledger.Decide(kRequest, At(seconds(5))).crash_count, 1U);
}

// Guards against a popular request that is refused as it lay on upstreams that
// crashed for another reason.
Test(crash_ledger, answer_clears_what_crashed_before) {
  CrashTracker ledger("a", "a-1");
  for (std::uint64_t upstream = 0; upstream < 20; ++upstream) {
    const Time now = At(seconds(upstream));
    ledger.OnCrash(kRequest, upstream, now);
    ledger.OnAnswer(kRequest, now + milliseconds(500));
  }
  cr_assert_eq(ledger.Decide(kRequest, At(seconds(30))).crash_count, 0U);
}

// What one host tells is told to the other, as it would be on its way.
void Tell(CrashTracker& from, CrashTracker& to, Time now) {
  const auto report = DecodeCrashes(EncodeCrashes(from.OwnCrashes(false, now)));
  cr_assert(report.has_value());
  to.OnCrashReport(*report, now);
}

Test(crash_ledger, three_hosts_that_saw_one_crash_each_block_together) {
  std::vector<std::unique_ptr<CrashTracker>> hosts;
  for (std::uint64_t i = 0; i < 3; ++i) {
    hosts.push_back(
        std::make_unique<CrashTracker>("a", "a-" + std::to_string(i)));
    hosts.back()->OnCrash(kRequest, i, At(seconds(0)));
  }
  Tell(*hosts[0], *hosts[2], At(milliseconds(10)));
  Tell(*hosts[1], *hosts[2], At(milliseconds(10)));
  cr_assert(IsBlocked(*hosts[2], At(milliseconds(20))));
  cr_assert_eq(hosts[2]->Decide(kRequest, At(milliseconds(20))).reported_by,
               "a-1");
}

// Guards against a crash that is told late and counts again after the answer
// that came after it.
Test(crash_ledger, late_news_of_a_crash_does_not_outlive_the_answer) {
  CrashTracker seen("a", "a-1");
  CrashTracker answered("a", "a-2");
  seen.OnCrash(kRequest, 1, At(seconds(0)));
  answered.OnCrash(kRequest, 2, At(seconds(0)));
  answered.OnAnswer(kRequest, At(seconds(1)));
  Tell(seen, answered, At(seconds(2)));
  cr_assert_eq(answered.Decide(kRequest, At(seconds(2))).crash_count, 0U);
  Tell(answered, seen, At(seconds(2)));
  cr_assert_eq(seen.Decide(kRequest, At(seconds(2))).crash_count, 0U);
}

Test(crash_ledger, what_a_domain_saw_is_told_to_others_by_its_reporters) {
  CrashTracker seen("a", "a-1");
  CrashTracker reporter("a", "a-2");
  CrashTracker far("b", "b-1");
  seen.OnCrash(kRequest, 1, At(seconds(0)));
  Tell(seen, reporter, At(seconds(0)));
  const CrashReport report = reporter.DomainCrashes(At(seconds(0)));
  cr_assert(report.forward_to_domain);
  cr_assert(far.OnCrashReport(report, At(seconds(0))));
  cr_assert_eq(far.Decide(kRequest, At(seconds(0))).crash_count, 1U);
  cr_assert(far.DomainCrashes(At(seconds(0))).entries.empty());
}

// Guards against hosts that send the same news to and fro without end.
Test(crash_ledger, news_is_told_a_few_times_only) {
  CrashTracker ledger("a", "a-1");
  Block(ledger, At(seconds(0)));
  int told = 0;
  for (int round = 0; round < 100; ++round) {
    const auto report = ledger.OwnCrashes(false, At(milliseconds(10 * round)));
    told += static_cast<int>(report.entries.size());
  }
  cr_assert_leq(told, 4);
  CrashTracker heard("a", "a-2");
  Block(heard, At(seconds(0)));
  cr_assert_not(heard.OnCrashReport(ledger.CrashSnapshot(At(seconds(1))),
                                    At(seconds(1))));
}

// Guards against a host that was cut off while others were told, and sends a
// blocked request on once it is back.
Test(crash_ledger, reporters_tell_again_what_is_blocked) {
  CrashTracker reporter("a", "a-1");
  Block(reporter, At(seconds(0)));
  CrashTracker member("a", "a-2");
  Block(member, At(seconds(0)));
  const auto tells_in_ten_seconds = [](CrashTracker& ledger, bool reports,
                                       Time from) {
    std::size_t told = 0;
    for (int i = 0; i < 20; ++i) {
      told += ledger.OwnCrashes(reports, from + i * milliseconds(500))
                  .entries.size();
    }
    return told;
  };
  cr_assert_eq(tells_in_ten_seconds(member, false, At(seconds(30))), 0U);
  cr_assert_eq(tells_in_ten_seconds(reporter, true, At(seconds(30))), 5U);
  CrashTracker back("a", "a-3");
  back.OnCrashReport(reporter.OwnCrashes(true, At(seconds(50))),
                     At(seconds(50)));
  cr_assert(IsBlocked(back, At(seconds(50))));
  // What has been blocked for long is not told for ever.
  cr_assert_eq(tells_in_ten_seconds(reporter, true, At(minutes(3))), 0U);
}

Test(crash_ledger, host_that_starts_learns_what_is_blocked) {
  CrashTracker ledger("a", "a-1");
  Block(ledger, At(seconds(0)));
  CrashTracker fresh("a", "a-2");
  fresh.OnCrashReport(ledger.CrashSnapshot(At(seconds(30))), At(seconds(30)));
  cr_assert(IsBlocked(fresh, At(seconds(30))));
  cr_assert_eq(fresh.Decide(kRequest, At(seconds(30))).retry_after,
               seconds(30));
}

// Guards against a blocked request that each host tries again at once.
Test(crash_ledger, one_host_at_a_time_tries_a_blocked_request_again) {
  constexpr std::size_t kHosts = 9;
  std::vector<std::unique_ptr<CrashTracker>> hosts;
  std::vector<std::uint64_t> names;
  for (std::size_t i = 0; i < kHosts; ++i) {
    const std::string name = "a-" + std::to_string(i);
    hosts.push_back(std::make_unique<CrashTracker>("a", name));
    names.push_back(StableHash(name));
    Block(*hosts.back(), At(seconds(0)));
  }
  for (std::size_t i = 0; i < kHosts; ++i) {
    std::vector<std::uint64_t> others = names;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
    hosts[i]->SetOtherHosts(others);
  }
  const auto let_through = [&hosts](Time now) {
    std::size_t count = 0;
    for (auto& host : hosts) {
      if (!IsBlocked(*host, now)) {
        ++count;
        host->OnSent(kRequest, now);
      }
    }
    return count;
  };
  cr_assert_eq(let_through(At(seconds(59))), 0U);
  cr_assert_eq(let_through(At(seconds(61))), 1U);
  cr_assert_eq(let_through(At(seconds(62))), 0U);
  cr_assert_eq(let_through(At(seconds(92))), 1U);
}

Test(crash_ledger, trial_that_crashes_doubles_the_time_and_an_answer_ends_it) {
  CrashTracker ledger("a", "a-1");
  Block(ledger, At(seconds(0)));
  cr_assert_not(IsBlocked(ledger, At(seconds(60))));
  ledger.OnSent(kRequest, At(seconds(60)));
  ledger.OnCrash(kRequest, 9, At(seconds(61)));
  cr_assert(IsBlocked(ledger, At(seconds(180))));
  cr_assert_not(IsBlocked(ledger, At(seconds(181))));
  ledger.OnAnswer(kRequest, At(seconds(182)));
  cr_assert_eq(ledger.Decide(kRequest, At(seconds(182))).crash_count, 0U);
}

// Guards against state that grows with the number of requests that lay on
// crashed upstreams, and against losing the one that is nearly blocked in it.
Test(crash_ledger,
     state_is_bounded_and_keeps_what_is_nearest_to_being_blocked) {
  constexpr RequestDigest kMany = 5'000;
  CrashTracker ledger("a", "a-1");
  ledger.OnCrash(kRequest, 1, At(seconds(0)));
  ledger.OnCrash(kRequest, 2, At(seconds(0)));
  for (RequestDigest request = 100; request < 100 + kMany; ++request) {
    ledger.OnCrash(request, 1, At(seconds(1)));
  }
  cr_assert_leq(ledger.size(), 1'024U);
  ledger.OnCrash(kRequest, 3, At(seconds(2)));
  cr_assert(IsBlocked(ledger, At(seconds(2))));
  const std::string bytes =
      EncodeCrashes(ledger.OwnCrashes(false, At(seconds(2))));
  cr_assert_leq(bytes.size(), 1'400U);
  ledger.Tick(At(minutes(11)));
  cr_assert_eq(ledger.size(), 1U);
}

// Guards against what hosts know depending on the order in which it came.
Test(crash_suspect, what_is_known_does_not_depend_on_the_order_of_news) {
  const bool holds = Holds("joins in any order", [] {
    const auto ages = *rc::gen::container<std::vector<std::uint32_t>>(
        kCrashBlockThreshold, rc::gen::inRange<std::uint32_t>(0, 5'000));
    const auto answers = *rc::gen::container<std::vector<std::uint32_t>>(
        2, rc::gen::inRange<std::uint32_t>(0, 9'000));
    std::vector<CrashEntry> news;
    for (std::size_t i = 0; i < ages.size(); ++i) {
      news.push_back({kRequest, {{i, ages[i]}}, kNeverAnswered, 0});
    }
    for (const std::uint32_t answered : answers) {
      news.push_back({kRequest, {}, answered, 0});
    }
    const std::uint32_t last =
        *std::min_element(answers.begin(), answers.end());
    const auto after = static_cast<std::size_t>(
        std::count_if(ages.begin(), ages.end(),
                      [last](std::uint32_t age) { return age < last; }));
    const std::vector<int> order =
        *rc::gen::exec([] { return *rc::gen::arbitrary<std::vector<int>>(); });
    for (std::size_t i = 0; i < order.size(); ++i) {
      std::swap(news[i % news.size()],
                news[static_cast<std::size_t>(std::abs(order[i] % 97)) %
                     news.size()]);
    }
    SuspectRequest suspect;
    for (const CrashEntry& entry : news) {
      suspect.Merge(entry, At(seconds(10)));
    }
    RC_ASSERT(suspect.crash_count() == after);
  });
  cr_assert(holds);
}

}  // namespace
}  // namespace pathcleat
