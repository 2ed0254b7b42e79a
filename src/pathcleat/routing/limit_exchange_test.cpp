// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/limit_exchange.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{std::chrono::hours(1)};
constexpr Duration kSecond{1'000'000};

// One host's view.
struct HostView {
  HostView(std::string host, std::string domain, int upstreams = 2)
      : table(std::map<std::string, std::string>{{"d", "r"}}),
        exchange(table, std::move(host), std::move(domain)) {
    for (int i = 0; i < upstreams; ++i) {
      UpstreamInfo info;
      info.id = "i-" + std::to_string(i);
      info.service = "s";
      info.domain = "d";
      info.slots = 3;
      table.Put(info, kStart);
    }
    exchange.SetOnChange([this](UpstreamState&, LimitChange change) {
      changes.push_back(change);
    });
    exchange.SetOnUpdate([this] { ++news; });
  }

  UpstreamPtr upstream(int i = 0) {
    return table.Find("i-" + std::to_string(i));
  }

  UpstreamTable table;
  LimitExchange exchange;
  std::vector<LimitChange> changes;
  int news = 0;
};

Test(limit_exchange, tells_what_was_named_here_and_others_take_it) {
  HostView told("a", "d1");
  HostView other("b", "d2");
  told.exchange.OnLimitReported(told.upstream(), 1.7, kStart);
  cr_assert_eq(told.news, 1);
  const LimitReport report = told.exchange.OwnLimits(kStart);
  cr_assert_eq(report.entries.size(), 1U);
  other.exchange.OnLimitReport(*DecodeLimits(EncodeLimits(report)), kStart);
  cr_assert(other.upstream()->limit.IsInForce(kStart));
  cr_assert_float_eq(other.upstream()->limit.PerSecond(kStart), 1.7, 1e-5);
  cr_assert_eq(other.changes.size(), 1U);
  cr_assert_eq(other.news, 0);
  // It is not its own domain's to tell.
  cr_assert(other.exchange.DomainLimits(kStart).entries.empty());
}

// Guards against each answer of an upstream in need being told as a change.
Test(limit_exchange, same_limit_named_again_is_no_change) {
  HostView host("a", "d1");
  HostView other("b", "d1");
  for (int i = 0; i < 5; ++i) {
    host.exchange.OnLimitReported(host.upstream(), 1.7, kStart + i * kSecond);
    other.exchange.OnLimitReport(host.exchange.OwnLimits(kStart + i * kSecond),
                                 kStart + i * kSecond);
  }
  other.exchange.OnLimitReported(other.upstream(), 1.7, kStart + 5 * kSecond);
  cr_assert_eq(host.changes.size(), 1U);
  cr_assert_eq(other.changes.size(), 1U);
}

// Guards against hosts that keep an old sign fresh by telling it to each other.
Test(limit_exchange, signs_that_hosts_repeat_grow_old) {
  HostView a("a", "d1");
  HostView b("b", "d1");
  a.exchange.OnLimitReported(a.upstream(), 1, kStart);
  constexpr Duration kWay{50'000};
  Time now = kStart;
  for (int i = 0; i < 40; ++i, now += kSecond / 2) {
    a.exchange.OwnLimits(now);
    b.exchange.OwnLimits(now);
    b.exchange.OnLimitReport(a.exchange.DomainLimits(now), now + kWay);
    a.exchange.OnLimitReport(b.exchange.DomainLimits(now), now + kWay);
  }
  cr_assert_leq(a.upstream()->limit.observation()->observed_at, kStart);
  cr_assert_leq(b.upstream()->limit.observation()->observed_at, kStart);
  cr_assert(a.exchange.DomainLimits(now).entries.empty());
}

Test(limit_exchange, end_is_told_and_taken) {
  HostView a("a", "d1");
  HostView b("b", "d1");
  a.exchange.OnLimitReported(a.upstream(), 1, kStart);
  b.exchange.OnLimitReport(a.exchange.OwnLimits(kStart), kStart);
  const Time later = kStart + 3 * kSecond;
  a.exchange.OnNoLimitReported(a.upstream(), kStart + 2 * kSecond, later);
  b.exchange.OnLimitReport(a.exchange.OwnLimits(later), later);
  cr_assert_not(b.upstream()->limit.IsInForce(later));
  cr_assert(b.exchange.limited_upstreams().empty());
  cr_assert(b.changes.back() == LimitChange::kEnded);
}

Test(limit_exchange, limit_that_nobody_hears_of_lapses) {
  HostView host("a", "d1");
  host.exchange.OnLimitReported(host.upstream(), 1, kStart);
  host.exchange.Tick(kStart + 12 * kSecond);
  cr_assert_eq(host.exchange.limited_upstreams().size(), 1U);
  host.exchange.Tick(kStart + 120 * kSecond);
  cr_assert(host.exchange.limited_upstreams().empty());
  cr_assert(host.changes.back() == LimitChange::kEnded);
}

// Guards against a report that outgrows its datagram, and against upstreams
// that are never told of because others stand before them.
Test(limit_exchange, many_limits_are_told_by_turns) {
  constexpr int kUpstreams = 100;
  HostView host("a", "d1", kUpstreams);
  HostView other("b", "d1", kUpstreams);
  for (int i = 0; i < kUpstreams; ++i) {
    host.exchange.OnLimitReported(host.upstream(i), 1, kStart);
  }
  for (int round = 0; round < 3; ++round) {
    const LimitReport report = host.exchange.OwnLimits(kStart);
    cr_assert_leq(report.entries.size(), kMaxLimitEntries);
    cr_assert_leq(EncodeLimits(report).size(), 1'400U);
    other.exchange.OnLimitReport(report, kStart);
  }
  cr_assert_eq(other.exchange.limited_upstreams().size(),
               std::size_t{kUpstreams});
}

Test(limit_exchange, host_that_starts_is_told_what_is_in_force) {
  HostView host("a", "d1");
  HostView fresh("b", "d1");
  host.exchange.OnLimitReported(host.upstream(), 1, kStart);
  const Time later = kStart + 5 * kSecond;
  cr_assert(host.exchange.OwnLimits(later).entries.empty());
  fresh.exchange.OnLimitReport(host.exchange.LimitSnapshot(later), later);
  cr_assert(fresh.upstream()->limit.IsInForce(later));
}

// An upstream that started again under its id knows nothing of before.
Test(limit_exchange, limit_goes_with_the_incarnation) {
  HostView host("a", "d1");
  host.exchange.OnLimitReported(host.upstream(), 1, kStart);
  UpstreamInfo again = host.upstream()->info;
  again.started_ms = 7;
  host.table.Put(again, kStart);
  host.exchange.Tick(kStart);
  cr_assert_not(host.upstream()->limit.IsInForce(kStart));
  cr_assert(host.exchange.limited_upstreams().empty());
}

}  // namespace
}  // namespace pathcleat
