// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/statement_exchange.hpp"

#include "mutated_bytes.hpp"
#include "pathcleat/core/outside_bounds.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{std::chrono::hours(1)};
constexpr Duration kSecond{1'000'000};

// One host's upstreams and limits.
struct HostFixture {
  HostFixture(std::string host, std::string domain, int upstreams = 2)
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
    exchange.SetOnUpdate([this] { ++updates; });
  }

  UpstreamPtr upstream(int i = 0) {
    return table.Find("i-" + std::to_string(i));
  }

  UpstreamTable table;
  StatementExchange exchange;
  std::vector<LimitChange> changes;
  int updates = 0;
};

Test(limit_exchange, limit_named_here_is_reported_and_applied_by_others) {
  HostFixture sender("a", "d1");
  HostFixture other("b", "d2");
  sender.exchange.OnLimitReported(sender.upstream(), 1.7, kStart);
  cr_assert_eq(sender.updates, 1);
  const StatementReport report = sender.exchange.OwnStatements(kStart);
  cr_assert_eq(report.entries.size(), 1U);
  other.exchange.OnStatementReport(*DecodeStatements(EncodeStatements(report)),
                                   kStart);
  cr_assert(other.upstream()->limit.IsInForce(kStart));
  cr_assert_float_eq(other.upstream()->limit.PerSecond(kStart), 1.7, 1e-5);
  cr_assert_eq(other.changes.size(), 1U);
  cr_assert_eq(other.updates, 0);
  // The limit was not observed in this host's domain, so the host does not
  // forward it.
  cr_assert(other.exchange.DomainStatements(kStart).entries.empty());
}

// Guards against a change being reported for each answer of a limited upstream.
Test(limit_exchange, same_limit_named_again_is_no_change) {
  HostFixture host("a", "d1");
  HostFixture other("b", "d1");
  for (int i = 0; i < 5; ++i) {
    host.exchange.OnLimitReported(host.upstream(), 1.7, kStart + i * kSecond);
    other.exchange.OnStatementReport(
        host.exchange.OwnStatements(kStart + i * kSecond),
        kStart + i * kSecond);
  }
  other.exchange.OnLimitReported(other.upstream(), 1.7, kStart + 5 * kSecond);
  cr_assert_eq(host.changes.size(), 1U);
  cr_assert_eq(other.changes.size(), 1U);
}

// Guards against hosts that keep an old observation alive by repeating it to
// each other.
Test(limit_exchange, observations_that_hosts_repeat_keep_their_age) {
  HostFixture a("a", "d1");
  HostFixture b("b", "d1");
  a.exchange.OnLimitReported(a.upstream(), 1, kStart);
  constexpr Duration kTransitTime{50'000};
  Time now = kStart;
  for (int i = 0; i < 40; ++i, now += kSecond / 2) {
    a.exchange.OwnStatements(now);
    b.exchange.OwnStatements(now);
    b.exchange.OnStatementReport(a.exchange.DomainStatements(now),
                                 now + kTransitTime);
    a.exchange.OnStatementReport(b.exchange.DomainStatements(now),
                                 now + kTransitTime);
  }
  cr_assert_leq(a.upstream()->limit.observation()->observed_at, kStart);
  cr_assert_leq(b.upstream()->limit.observation()->observed_at, kStart);
  cr_assert(a.exchange.DomainStatements(now).entries.empty());
}

Test(limit_exchange, end_of_a_limit_is_reported_and_applied) {
  HostFixture a("a", "d1");
  HostFixture b("b", "d1");
  a.exchange.OnLimitReported(a.upstream(), 1, kStart);
  b.exchange.OnStatementReport(a.exchange.OwnStatements(kStart), kStart);
  const Time later = kStart + 3 * kSecond;
  a.exchange.OnNoLimitReported(a.upstream(), kStart + 2 * kSecond, later);
  b.exchange.OnStatementReport(a.exchange.OwnStatements(later), later);
  cr_assert_not(b.upstream()->limit.IsInForce(later));
  cr_assert(b.exchange.limited_upstreams().empty());
  cr_assert(b.changes.back() == LimitChange::kEnded);
}

Test(limit_exchange, limit_without_new_observations_ends) {
  HostFixture host("a", "d1");
  host.exchange.OnLimitReported(host.upstream(), 1, kStart);
  host.exchange.Tick(kStart + 12 * kSecond);
  cr_assert_eq(host.exchange.limited_upstreams().size(), 1U);
  host.exchange.Tick(kStart + 120 * kSecond);
  cr_assert(host.exchange.limited_upstreams().empty());
  cr_assert(host.changes.back() == LimitChange::kEnded);
}

// Guards against a report that is larger than a datagram, and against upstreams
// that are never reported because others come before them.
Test(limit_exchange, many_limits_are_reported_in_turn) {
  constexpr int kUpstreams = 100;
  HostFixture host("a", "d1", kUpstreams);
  HostFixture other("b", "d1", kUpstreams);
  for (int i = 0; i < kUpstreams; ++i) {
    host.exchange.OnLimitReported(host.upstream(i), 1, kStart);
  }
  for (int round = 0; round < 3; ++round) {
    const StatementReport report = host.exchange.OwnStatements(kStart);
    cr_assert_leq(report.entries.size(), kMaxLimitEntries);
    cr_assert_leq(EncodeStatements(report).size(), 1'400U);
    other.exchange.OnStatementReport(report, kStart);
  }
  cr_assert_eq(other.exchange.limited_upstreams().size(),
               std::size_t{kUpstreams});
}

Test(limit_exchange, starting_host_gets_the_limits_in_force) {
  HostFixture host("a", "d1");
  HostFixture started("b", "d1");
  host.exchange.OnLimitReported(host.upstream(), 1, kStart);
  const Time later = kStart + 5 * kSecond;
  cr_assert(host.exchange.OwnStatements(later).entries.empty());
  started.exchange.OnStatementReport(host.exchange.StatementSnapshot(later),
                                     later);
  cr_assert(started.upstream()->limit.IsInForce(later));
}

// An upstream that restarts under its id starts without a limit.
Test(limit_exchange, limit_ends_when_the_upstream_restarts) {
  HostFixture host("a", "d1");
  host.exchange.OnLimitReported(host.upstream(), 1, kStart);
  UpstreamInfo again = host.upstream()->info;
  again.started_ms = 7;
  host.table.Put(again, kStart);
  host.exchange.Tick(kStart);
  cr_assert_not(host.upstream()->limit.IsInForce(kStart));
  cr_assert(host.exchange.limited_upstreams().empty());
}

Test(statement_exchange, leaving_stated_here_is_applied_by_others) {
  HostFixture sender("a", "d1");
  HostFixture other("b", "d2");
  sender.exchange.OnLeavingReported(sender.upstream(), true, kStart, kStart);
  sender.exchange.OnLeavingReported(sender.upstream(), true, kStart, kStart);
  cr_assert_eq(sender.updates, 1);
  const StatementReport report = sender.exchange.OwnStatements(kStart);
  other.exchange.OnStatementReport(*DecodeStatements(EncodeStatements(report)),
                                   kStart);
  cr_assert_not(other.table.IsOpen(*other.upstream()));
  cr_assert(other.table.IsOpen(*other.upstream(1)));
  cr_assert_eq(other.updates, 0);
  cr_assert(other.exchange.DomainStatements(kStart).IsEmpty());
}

// Guards against a report about an earlier start, or an unlisted upstream, that
// takes the wrong one out of use, or is lost.
Test(statement_exchange, leaving_concerns_one_start_of_an_upstream) {
  HostFixture sender("a", "d1");
  HostFixture other("b", "d1");
  sender.exchange.OnLeavingReported(sender.upstream(), true, kStart, kStart);
  const StatementReport report = sender.exchange.OwnStatements(kStart);
  UpstreamInfo entry = other.upstream()->info;
  UpstreamInfo again = entry;
  again.started_ms = 7;
  other.table.Put(again, kStart);
  other.exchange.OnStatementReport(report, kStart);
  cr_assert(other.table.IsOpen(*other.upstream()));
  HostFixture late("c", "d1", 0);
  late.exchange.OnStatementReport(report, kStart);
  late.table.Put(entry, kStart);
  cr_assert_not(late.table.IsOpen(*late.upstream()));
}

// Guards against a statement that is never taken back: an answer to a later
// request without it revokes it at all hosts.
Test(statement_exchange, revoked_leaving_is_reported_and_applied) {
  HostFixture a("a", "d1");
  HostFixture b("b", "d1");
  a.exchange.OnLeavingReported(a.upstream(), true, kStart, kStart);
  b.exchange.OnStatementReport(a.exchange.OwnStatements(kStart), kStart);
  const Time later = kStart + 3 * kSecond;
  a.exchange.OnLeavingReported(a.upstream(), false, kStart + 2 * kSecond,
                               later);
  cr_assert(a.table.IsOpen(*a.upstream()));
  b.exchange.OnStatementReport(a.exchange.OwnStatements(later), later);
  cr_assert(b.table.IsOpen(*b.upstream()));
}

// Guards against a report that is larger than a datagram when many upstreams
// leave and name limits at once.
Test(statement_exchange, many_statements_are_reported_in_turn) {
  constexpr int kUpstreams = 60;
  HostFixture host("a", "d1", kUpstreams);
  HostFixture other("b", "d1", kUpstreams);
  for (int i = 0; i < kUpstreams; ++i) {
    host.exchange.OnLeavingReported(host.upstream(i), true, kStart, kStart);
    host.exchange.OnLimitReported(host.upstream(i), 1, kStart);
  }
  for (int round = 0; round < 4; ++round) {
    const StatementReport report = host.exchange.OwnStatements(kStart);
    cr_assert_leq(EncodeStatements(report).size(), 1'400U);
    other.exchange.OnStatementReport(report, kStart);
  }
  for (int i = 0; i < kUpstreams; ++i) {
    cr_assert_not(other.table.IsOpen(*other.upstream(i)));
  }
  cr_assert_eq(other.exchange.limited_upstreams().size(),
               std::size_t{kUpstreams});
}

Test(statement_exchange, starting_host_is_told_who_leaves) {
  HostFixture host("a", "d1");
  HostFixture started("b", "d1");
  host.exchange.OnLeavingReported(host.upstream(), true, kStart, kStart);
  const Time later = kStart + 60 * kSecond;
  cr_assert(host.exchange.OwnStatements(later).IsEmpty());
  started.exchange.OnStatementReport(host.exchange.StatementSnapshot(later),
                                     later);
  cr_assert_not(started.table.IsOpen(*started.upstream()));
}

Test(statement_exchange, any_bytes_are_decoded_or_rejected) {
  cr_assert(Holds("decoding arbitrary bytes never crashes", [] {
    DecodeStatements(
        *rc::gen::container<std::string>(rc::gen::inRange<char>(-128, 127)));
  }));
}

// Guards against a rate of another host that is no number, or beyond what the
// arithmetic of a limit can hold.
Test(statement_exchange, mutated_reports_are_in_range_or_rejected) {
  StatementReport report;
  report.entries = {{"u", 5, 100}, {"v", kNoRateLimit, 100}};
  report.leaving = {{"u", 1, true, 100}};
  const std::string encoded = EncodeStatements(report);
  cr_assert(Holds(
      "rates are in range or kNoRateLimit",
      [&encoded] {
        const auto decoded = DecodeStatements(MutatedBytes(encoded));
        for (const LimitEntry& entry :
             decoded.value_or(StatementReport()).entries) {
          RC_ASSERT(entry.per_second >= kNoRateLimit);
          RC_ASSERT(double{entry.per_second} <= kMaxOutsideQuantity);
        }
      },
      3'000));
}

}  // namespace
}  // namespace pathcleat
