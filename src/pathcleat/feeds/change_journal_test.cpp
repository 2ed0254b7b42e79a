// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/change_journal.hpp"

#include <map>

#include "property.hpp"

namespace pathcleat {
namespace {

Test(change_journal, returns_all_changes_or_none_if_it_has_dropped_some) {
  cr_assert(Holds("no change is missing", [] {
    const std::size_t capacity = *rc::gen::inRange<std::size_t>(1, 12);
    ChangeJournal journal(capacity);
    std::multimap<std::uint64_t, std::string> appended;
    std::uint64_t version = 0;
    const int count = *rc::gen::inRange(0, 30);
    for (int i = 0; i < count; ++i) {
      version += *rc::gen::inRange<std::uint64_t>(0, 3);
      const std::string key = std::to_string(*rc::gen::inRange(0, 5));
      journal.Append(version, key);
      appended.emplace(version, key);
    }
    const auto since = *rc::gen::inRange<std::uint64_t>(0, version + 2);
    const auto changed = journal.ChangedSince(since);
    if (!changed) {
      RC_ASSERT(appended.size() > capacity);
      return;
    }
    std::set<std::string> expected;
    for (auto at = appended.upper_bound(since); at != appended.end(); ++at) {
      expected.insert(at->second);
    }
    RC_ASSERT(*changed == expected);
  }));
}

Test(change_journal, has_no_changes_from_before_a_reset) {
  ChangeJournal journal(8);
  journal.Append(3, "a");
  journal.ResetTo(10);
  cr_assert_not(journal.ChangedSince(9).has_value());
  cr_assert(journal.ChangedSince(10)->empty());
  journal.Append(11, "b");
  cr_assert_eq(journal.ChangedSince(10)->size(), 1U);
}

}  // namespace
}  // namespace pathcleat
