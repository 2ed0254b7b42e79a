// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/unreadable_row_log.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

constexpr SourceTopic kTopic = SourceTopic::kUpstreams;

// Guards against a line of the log with each read of a topic for a row that
// another writer leaves there.
Test(unreadable_row_log, row_is_logged_once_for_each_reason) {
  UnreadableRowLog log;
  cr_assert(log.IsNew(kTopic, {"a", "no address"}));
  cr_assert_not(log.IsNew(kTopic, {"a", "no address"}));
  cr_assert(log.IsNew(kTopic, {"a", "no state"}));
  cr_assert(log.IsNew(SourceTopic::kOrders, {"a", "no state"}));
  log.Forget(kTopic, "a");
  cr_assert(log.IsNew(kTopic, {"a", "no state"}));
}

// Guards against rows without a readable key that hide each other in the log.
Test(unreadable_row_log, rows_without_a_key_are_told_apart_by_reason) {
  UnreadableRowLog log;
  cr_assert(log.IsNew(kTopic, {"", "undecodable key x"}));
  cr_assert(log.IsNew(kTopic, {"", "undecodable key y"}));
  cr_assert_not(log.IsNew(kTopic, {"", "undecodable key x"}));
}

}  // namespace
}  // namespace pathcleat
