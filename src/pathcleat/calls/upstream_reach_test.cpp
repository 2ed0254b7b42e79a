// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/upstream_reach.hpp"

#include <criterion/criterion.h>

#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart(std::chrono::seconds(1'000));
constexpr Duration kMillisecond{1'000};

UpstreamInfo MakeUpstream(int number) {
  UpstreamInfo info;
  info.id = "u" + std::to_string(number);
  info.domain = "d" + std::to_string(number % 3);
  return info;
}

std::vector<UpstreamInfo> MakeUpstreams(int count) {
  std::vector<UpstreamInfo> upstreams;
  for (int i = 0; i < count; ++i) {
    upstreams.push_back(MakeUpstream(i));
  }
  return upstreams;
}

UpstreamReach MakeReach(std::size_t upstreams = 9, std::size_t domains = 3) {
  UpstreamReach reach;
  reach.SetListed(upstreams, domains);
  reach.OnContact(kStart, kStart);
  return reach;
}

void FailFirst(UpstreamReach& reach, int count, Time now) {
  for (int i = 0; i < count; ++i) {
    reach.OnConnectionFailed(MakeUpstream(i), now);
  }
}

Test(upstream_reach, is_isolated_after_failures_in_two_domains) {
  UpstreamReach reach = MakeReach();
  FailFirst(reach, 2, kStart);
  cr_assert_not(reach.IsIsolated());
  reach.OnConnectionFailed(MakeUpstream(2), kStart);
  cr_assert(reach.IsIsolated());
  cr_assert_eq(reach.Evidence(kStart).failed_upstreams, 3U);
  cr_assert_eq(reach.Evidence(kStart).failed_domains, 3U);
}

// Guards against taking the loss of one failure domain for a cut.
Test(upstream_reach, loss_of_one_domain_is_no_isolation) {
  UpstreamReach reach = MakeReach();
  for (const int i : {0, 3, 6}) {
    reach.OnConnectionFailed(MakeUpstream(i), kStart);
  }
  cr_assert_not(reach.IsIsolated());
  cr_assert(reach.IsProbeDue(kStart));
}

// Guards against taking one upstream that fails again and again for a cut.
Test(upstream_reach, failures_of_one_upstream_are_no_isolation) {
  UpstreamReach reach = MakeReach();
  for (int i = 0; i < 10; ++i) {
    reach.OnConnectionFailed(MakeUpstream(1), kStart + i * kMillisecond);
  }
  cr_assert_not(reach.IsIsolated());
  cr_assert_not(reach.IsProbeDue(kStart + 10 * kMillisecond));
}

Test(upstream_reach, failures_between_contacts_do_not_add_up) {
  UpstreamReach reach = MakeReach();
  for (int i = 0; i < 9; ++i) {
    const Time now = kStart + i * kMillisecond;
    reach.OnConnectionFailed(MakeUpstream(i), now);
    reach.OnContact(kStart, now);
  }
  cr_assert_not(reach.IsIsolated());
}

Test(upstream_reach, failures_far_apart_do_not_add_up) {
  UpstreamReach reach = MakeReach();
  for (int i = 0; i < 9; ++i) {
    reach.OnConnectionFailed(MakeUpstream(i),
                             kStart + i * 1'500 * kMillisecond);
  }
  cr_assert_not(reach.IsIsolated());
}

// Guards against declaring the host isolated because all connections that were
// open fell silent, while new connections work.
Test(upstream_reach, silence_of_open_connections_is_a_reason_to_probe_only) {
  UpstreamReach reach = MakeReach();
  reach.OnSilence(kStart);
  cr_assert(reach.IsProbeDue(kStart));
  cr_assert_not(reach.IsIsolated());
  reach.OnContact(kStart + kMillisecond, kStart + 2 * kMillisecond);
  cr_assert_not(reach.IsProbeDue(kStart + 3 * kMillisecond));
}

// Guards against a host that flaps while open connections live on and new ones
// are refused.
Test(upstream_reach, answer_over_an_old_connection_does_not_end_isolation) {
  UpstreamReach reach = MakeReach();
  FailFirst(reach, 3, kStart + kMillisecond);
  reach.OnContact(kStart, kStart + 2 * kMillisecond);
  cr_assert(reach.IsIsolated());
  reach.OnContact(kStart + 3 * kMillisecond, kStart + 4 * kMillisecond);
  cr_assert_not(reach.IsIsolated());
  cr_assert_eq((reach.changed_at() - kStart).count(), 4'000);
}

Test(upstream_reach, few_listed_upstreams_need_fewer_failures) {
  UpstreamReach two = MakeReach(2, 1);
  two.OnConnectionFailed(MakeUpstream(0), kStart);
  cr_assert_not(two.IsIsolated());
  two.OnConnectionFailed(MakeUpstream(3), kStart);
  cr_assert(two.IsIsolated());
}

Test(upstream_reach, one_listed_upstream_never_shows_isolation) {
  UpstreamReach one = MakeReach(1, 1);
  one.OnConnectionFailed(MakeUpstream(0), kStart);
  cr_assert_not(one.IsIsolated());
  cr_assert_not(one.IsProbeDue(kStart));
}

Test(upstream_reach, nothing_before_a_stall_counts) {
  UpstreamReach reach = MakeReach();
  FailFirst(reach, 2, kStart);
  reach.OnStall(kStart + kMillisecond);
  reach.OnConnectionFailed(MakeUpstream(2), kStart + 2 * kMillisecond);
  cr_assert_not(reach.IsIsolated());
}

// A few probes at once, so that the decision does not wait for several
// intervals, and to domains without failures first.
Test(upstream_reach, first_probes_go_to_different_upstreams_of_sound_domains) {
  UpstreamReach reach = MakeReach();
  for (const int i : {0, 3}) {
    reach.OnConnectionFailed(MakeUpstream(i), kStart);
  }
  const auto upstreams = MakeUpstreams(9);
  std::set<std::string> probed;
  while (reach.IsProbeDue(kStart)) {
    const UpstreamInfo& chosen = reach.ChooseProbe(upstreams, 7, kStart);
    cr_assert_neq(chosen.domain, MakeUpstream(0).domain);
    probed.insert(chosen.id);
  }
  cr_assert_eq(probed.size(), 3U);
}

// Guards against probes without end where fewer upstreams are listed than
// probes are sent at once.
Test(upstream_reach, few_listed_upstreams_get_few_probes_at_once) {
  for (int count = 2; count < 5; ++count) {
    UpstreamReach reach = MakeReach(count, 1);
    reach.OnSilence(kStart);
    const auto upstreams = MakeUpstreams(count);
    int probes = 0;
    while (reach.IsProbeDue(kStart) && probes < 100) {
      reach.ChooseProbe(upstreams, 7, kStart);
      ++probes;
    }
    cr_assert_eq(probes, 3, "%d probes", probes);
  }
}

Test(upstream_reach, isolated_host_probes_all_upstreams_in_turn) {
  UpstreamReach reach = MakeReach();
  FailFirst(reach, 3, kStart);
  const auto upstreams = MakeUpstreams(9);
  std::set<std::string> probed;
  int probes = 0;
  for (int i = 0; i < 300; ++i) {
    const Time now = kStart + i * 10 * kMillisecond;
    if (reach.IsProbeDue(now)) {
      probed.insert(reach.ChooseProbe(upstreams, 7, now).id);
      ++probes;
    }
  }
  cr_assert_eq(probed.size(), upstreams.size());
  cr_assert_leq(probes, 12);
}

// Whatever happens, the host is isolated only if no upstream answered over a
// new connection since it became so, and three upstreams in two domains failed.
Test(upstream_reach, property_isolation_needs_evidence) {
  cr_assert(Holds("isolation needs evidence", [] {
    UpstreamReach reach = MakeReach();
    std::set<std::string> ids;
    std::set<std::string> domains;
    Time now = kStart;
    for (int step = 0; step < 60; ++step) {
      now += *rc::gen::inRange(0, 300) * kMillisecond;
      const bool was_isolated = reach.IsIsolated();
      if (*rc::gen::inRange(0, 5) == 0) {
        reach.OnContact(now, now);
        ids.clear();
        domains.clear();
        RC_ASSERT(!reach.IsIsolated());
        continue;
      }
      const UpstreamInfo upstream = MakeUpstream(*rc::gen::inRange(0, 9));
      reach.OnConnectionFailed(upstream, now);
      ids.insert(upstream.id);
      domains.insert(upstream.domain);
      if (reach.IsIsolated() && !was_isolated) {
        RC_ASSERT(ids.size() >= 3U);
        RC_ASSERT(domains.size() >= 2U);
      }
    }
  }));
}

}  // namespace
}  // namespace pathcleat
