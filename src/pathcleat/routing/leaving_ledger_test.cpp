// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/leaving_ledger.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{std::chrono::hours(1)};
constexpr Duration kSecond{1'000'000};
constexpr std::uint64_t kBorn = 5;

LeavingStatement StatementAt(Time at,
                             bool leaving = true,
                             std::uint64_t started_ms = kBorn) {
  return {started_ms, leaving, at, "host", "domain"};
}

Test(leaving_ledger, statement_is_news_once) {
  LeavingLedger ledger;
  cr_assert_not(ledger.IsLeaving("i", kBorn));
  cr_assert(ledger.Add("i", StatementAt(kStart)));
  cr_assert(ledger.IsLeaving("i", kBorn));
  cr_assert_not(ledger.Add("i", StatementAt(kStart + kSecond)));
  cr_assert_not(ledger.Add("i", StatementAt(kStart)));
}

// An upstream that starts again under its id does not inherit the statement,
// however late a statement about its earlier start arrives.
Test(leaving_ledger, later_start_begins_without_a_statement) {
  LeavingLedger ledger;
  ledger.Add("i", StatementAt(kStart));
  cr_assert_not(ledger.IsLeaving("i", kBorn + 1));
  cr_assert(ledger.Add("i", StatementAt(kStart + kSecond, true, kBorn + 1)));
  cr_assert_not(ledger.Add("i", StatementAt(kStart + 9 * kSecond)));
  cr_assert(ledger.IsLeaving("i", kBorn + 1));
  cr_assert_not(ledger.IsLeaving("i", kBorn));
}

// Guards against answers that overtake each other: one to an earlier request
// lacks the statement and does not revoke it.
Test(leaving_ledger, only_an_answer_to_a_later_request_revokes_a_statement) {
  LeavingLedger ledger;
  ledger.Add("i", StatementAt(kStart));
  cr_assert_not(ledger.Add("i", StatementAt(kStart + kSecond / 2, false)));
  cr_assert(ledger.IsLeaving("i", kBorn));
  cr_assert(ledger.Add("i", StatementAt(kStart + 2 * kSecond, false)));
  cr_assert_not(ledger.IsLeaving("i", kBorn));
  cr_assert_not(ledger.Add("i", StatementAt(kStart)));
  cr_assert_not(ledger.IsLeaving("i", kBorn));
}

Test(leaving_ledger, upstream_that_never_stated_anything_is_not_recorded) {
  LeavingLedger ledger;
  cr_assert_not(ledger.Add("i", StatementAt(kStart, false)));
  cr_assert(ledger.statements().empty());
}

}  // namespace
}  // namespace pathcleat
