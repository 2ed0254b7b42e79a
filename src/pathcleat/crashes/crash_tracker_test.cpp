// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/crashes/crash_tracker.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <utility>
#include <vector>

#include "mutated_bytes.hpp"
#include "pathcleat/core/hash.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr RequestDigest kRequest = 7;
constexpr RequestDigest kOtherRequest = 8;

Time At(Duration since) {
  return Time(std::chrono::hours(10)) + since;
}

bool IsBlocked(const CrashTracker& tracker, Time now) {
  return tracker.Decide(kRequest, now).blocked;
}

void Block(CrashTracker& tracker, Time now) {
  for (std::uint64_t upstream = 1; upstream <= kCrashBlockThreshold;
       ++upstream) {
    tracker.OnCrash(kRequest, upstream, now);
  }
}

Test(crash_tracker, third_ended_upstream_blocks_only_this_request) {
  CrashTracker tracker("a", "a-1");
  tracker.OnCrash(kRequest, 1, At(seconds(0)));
  tracker.OnCrash(kRequest, 2, At(seconds(1)));
  cr_assert_not(IsBlocked(tracker, At(seconds(1))));
  tracker.OnCrash(kRequest, 3, At(seconds(2)));
  cr_assert(IsBlocked(tracker, At(seconds(2))));
  cr_assert_not(tracker.Decide(kOtherRequest, At(seconds(2))).blocked);
  cr_assert_eq(tracker.Decide(kRequest, At(seconds(2))).retry_after,
               minutes(1));
}

// Guards against one crash that is counted several times because several hosts
// observed it.
Test(crash_tracker, one_upstream_counts_once) {
  CrashTracker tracker("a", "a-1");
  for (int i = 0; i < 5; ++i) {
    tracker.OnCrash(kRequest, 1, At(seconds(i)));
  }
  cr_assert_eq(tracker.Decide(kRequest, At(seconds(5))).crash_count, 1U);
}

// Guards against a popular request that is blocked because it was in flight at
// upstreams that crashed for another reason.
Test(crash_tracker, answer_clears_earlier_crashes) {
  CrashTracker tracker("a", "a-1");
  for (std::uint64_t upstream = 0; upstream < 20; ++upstream) {
    const Time now = At(seconds(upstream));
    tracker.OnCrash(kRequest, upstream, now);
    tracker.OnAnswer(kRequest, now + milliseconds(500));
  }
  cr_assert_eq(tracker.Decide(kRequest, At(seconds(30))).crash_count, 0U);
}

// Sends the report of one host to another, encoded as on the network.
void SendReport(CrashTracker& from, CrashTracker& to, Time now) {
  const auto report = DecodeCrashes(EncodeCrashes(from.OwnCrashes(false, now)));
  cr_assert(report.has_value());
  to.OnCrashReport(*report, now);
}

Test(crash_tracker, three_hosts_that_saw_one_crash_each_block_together) {
  std::vector<std::unique_ptr<CrashTracker>> hosts;
  for (std::uint64_t i = 0; i < 3; ++i) {
    hosts.push_back(
        std::make_unique<CrashTracker>("a", "a-" + std::to_string(i)));
    hosts.back()->OnCrash(kRequest, i, At(seconds(0)));
  }
  SendReport(*hosts[0], *hosts[2], At(milliseconds(10)));
  SendReport(*hosts[1], *hosts[2], At(milliseconds(10)));
  cr_assert(IsBlocked(*hosts[2], At(milliseconds(20))));
  cr_assert_eq(hosts[2]->Decide(kRequest, At(milliseconds(20))).reported_by,
               "a-1");
}

// Guards against a crash that is reported late and counts again, although an
// answer came after it.
Test(crash_tracker, late_report_of_a_crash_does_not_count_after_an_answer) {
  CrashTracker observer("a", "a-1");
  CrashTracker answered("a", "a-2");
  observer.OnCrash(kRequest, 1, At(seconds(0)));
  answered.OnCrash(kRequest, 2, At(seconds(0)));
  answered.OnAnswer(kRequest, At(seconds(1)));
  SendReport(observer, answered, At(seconds(2)));
  cr_assert_eq(answered.Decide(kRequest, At(seconds(2))).crash_count, 0U);
  SendReport(answered, observer, At(seconds(2)));
  cr_assert_eq(observer.Decide(kRequest, At(seconds(2))).crash_count, 0U);
}

Test(crash_tracker, crashes_of_a_domain_are_reported_to_other_domains) {
  CrashTracker observer("a", "a-1");
  CrashTracker reporter("a", "a-2");
  CrashTracker remote("b", "b-1");
  observer.OnCrash(kRequest, 1, At(seconds(0)));
  SendReport(observer, reporter, At(seconds(0)));
  const CrashReport report = reporter.DomainCrashes(At(seconds(0)));
  cr_assert(report.forward_to_domain);
  cr_assert(remote.OnCrashReport(report, At(seconds(0))));
  cr_assert_eq(remote.Decide(kRequest, At(seconds(0))).crash_count, 1U);
  cr_assert(remote.DomainCrashes(At(seconds(0))).entries.empty());
}

// Guards against hosts that send the same report back and forth without end.
Test(crash_tracker, change_is_reported_a_few_times_only) {
  CrashTracker tracker("a", "a-1");
  Block(tracker, At(seconds(0)));
  int reported = 0;
  for (int round = 0; round < 100; ++round) {
    const auto report = tracker.OwnCrashes(false, At(milliseconds(10 * round)));
    reported += static_cast<int>(report.entries.size());
  }
  cr_assert_leq(reported, 4);
  CrashTracker receiver("a", "a-2");
  Block(receiver, At(seconds(0)));
  cr_assert_not(receiver.OnCrashReport(tracker.CrashSnapshot(At(seconds(1))),
                                       At(seconds(1))));
}

// Guards against a host that was cut off when other hosts were notified, and
// sends a blocked request after it is connected again.
Test(crash_tracker, reporters_repeat_blocked_requests) {
  CrashTracker reporter("a", "a-1");
  Block(reporter, At(seconds(0)));
  CrashTracker member("a", "a-2");
  Block(member, At(seconds(0)));
  const auto reports_in_ten_seconds = [](CrashTracker& tracker,
                                         bool is_reporter, Time from) {
    std::size_t reported = 0;
    for (int i = 0; i < 20; ++i) {
      reported += tracker.OwnCrashes(is_reporter, from + i * milliseconds(500))
                      .entries.size();
    }
    return reported;
  };
  cr_assert_eq(reports_in_ten_seconds(member, false, At(seconds(30))), 0U);
  cr_assert_eq(reports_in_ten_seconds(reporter, true, At(seconds(30))), 5U);
  CrashTracker reconnected("a", "a-3");
  reconnected.OnCrashReport(reporter.OwnCrashes(true, At(seconds(50))),
                            At(seconds(50)));
  cr_assert(IsBlocked(reconnected, At(seconds(50))));
  // A request that has been blocked for long is no longer repeated.
  cr_assert_eq(reports_in_ten_seconds(reporter, true, At(minutes(3))), 0U);
}

Test(crash_tracker, starting_host_receives_blocked_requests) {
  CrashTracker tracker("a", "a-1");
  Block(tracker, At(seconds(0)));
  CrashTracker started("a", "a-2");
  started.OnCrashReport(tracker.CrashSnapshot(At(seconds(30))),
                        At(seconds(30)));
  cr_assert(IsBlocked(started, At(seconds(30))));
  cr_assert_eq(started.Decide(kRequest, At(seconds(30))).retry_after,
               seconds(30));
}

// Guards against a blocked request that every host tries again at once.
Test(crash_tracker, one_host_at_a_time_tries_a_blocked_request_again) {
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
  const auto count_admitted = [&hosts](Time now) {
    std::size_t count = 0;
    for (auto& host : hosts) {
      if (!IsBlocked(*host, now)) {
        ++count;
        host->OnSent(kRequest, now);
      }
    }
    return count;
  };
  cr_assert_eq(count_admitted(At(seconds(59))), 0U);
  cr_assert_eq(count_admitted(At(seconds(61))), 1U);
  cr_assert_eq(count_admitted(At(seconds(62))), 0U);
  cr_assert_eq(count_admitted(At(seconds(92))), 1U);
}

Test(crash_tracker,
     crashing_trial_doubles_the_block_time_and_an_answer_ends_it) {
  CrashTracker tracker("a", "a-1");
  Block(tracker, At(seconds(0)));
  cr_assert_not(IsBlocked(tracker, At(seconds(60))));
  tracker.OnSent(kRequest, At(seconds(60)));
  tracker.OnCrash(kRequest, 9, At(seconds(61)));
  cr_assert(IsBlocked(tracker, At(seconds(180))));
  cr_assert_not(IsBlocked(tracker, At(seconds(181))));
  tracker.OnAnswer(kRequest, At(seconds(182)));
  cr_assert_eq(tracker.Decide(kRequest, At(seconds(182))).crash_count, 0U);
}

// Guards against state that grows with the number of requests that were in
// flight at crashed upstreams, and against the removal of an entry that lacks
// only one crash to be blocked.
Test(crash_tracker,
     state_is_bounded_and_keeps_the_entry_nearest_to_being_blocked) {
  constexpr RequestDigest kMany = 5'000;
  CrashTracker tracker("a", "a-1");
  tracker.OnCrash(kRequest, 1, At(seconds(0)));
  tracker.OnCrash(kRequest, 2, At(seconds(0)));
  for (RequestDigest request = 100; request < 100 + kMany; ++request) {
    tracker.OnCrash(request, 1, At(seconds(1)));
  }
  cr_assert_leq(tracker.size(), 1'024U);
  tracker.OnCrash(kRequest, 3, At(seconds(2)));
  cr_assert(IsBlocked(tracker, At(seconds(2))));
  const std::string bytes =
      EncodeCrashes(tracker.OwnCrashes(false, At(seconds(2))));
  cr_assert_leq(bytes.size(), 1'400U);
  tracker.Tick(At(minutes(11)));
  cr_assert_eq(tracker.size(), 1U);
}

// Guards against a state that depends on the order in which reports arrive.
Test(suspect_request, state_does_not_depend_on_the_order_of_reports) {
  const bool holds = Holds("joins in any order", [] {
    const auto ages = *rc::gen::container<std::vector<std::uint32_t>>(
        kCrashBlockThreshold, rc::gen::inRange<std::uint32_t>(0, 5'000));
    const auto answers = *rc::gen::container<std::vector<std::uint32_t>>(
        2, rc::gen::inRange<std::uint32_t>(0, 9'000));
    std::vector<CrashEntry> entries;
    for (std::size_t i = 0; i < ages.size(); ++i) {
      entries.push_back({kRequest, {{i, ages[i]}}, kNeverAnswered, 0});
    }
    for (const std::uint32_t answered : answers) {
      entries.push_back({kRequest, {}, answered, 0});
    }
    const std::uint32_t last =
        *std::min_element(answers.begin(), answers.end());
    const auto after = static_cast<std::size_t>(
        std::count_if(ages.begin(), ages.end(),
                      [last](std::uint32_t age) { return age < last; }));
    const std::vector<int> order =
        *rc::gen::exec([] { return *rc::gen::arbitrary<std::vector<int>>(); });
    for (std::size_t i = 0; i < order.size(); ++i) {
      std::swap(entries[i % entries.size()],
                entries[static_cast<std::size_t>(std::abs(order[i] % 97)) %
                        entries.size()]);
    }
    SuspectRequest suspect;
    for (const CrashEntry& entry : entries) {
      suspect.Merge(entry, At(seconds(10)));
    }
    RC_ASSERT(suspect.crash_count() == after);
  });
  cr_assert(holds);
}

// Guards against bytes of another host that end this one.
Test(crash_report, mutated_reports_are_decoded_or_rejected) {
  CrashReport report;
  report.entries = {{7, {{1, 2}, {3, 4}}, 5, 1}, {8, {}, kNeverAnswered, 0}};
  const std::string encoded = EncodeCrashes(report);
  cr_assert(Holds(
      "a report has no more entries than bytes",
      [&encoded] {
        const std::string bytes = MutatedBytes(encoded);
        const auto decoded = DecodeCrashes(bytes).value_or(CrashReport());
        RC_ASSERT(decoded.entries.size() <= bytes.size());
      },
      2'000));
}

}  // namespace
}  // namespace pathcleat
