// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/change_journal.hpp"

#include <map>

#include "property.hpp"

namespace pathcleat {
namespace {

Test(change_journal, tells_all_that_changed_or_that_it_does_not_know) {
  cr_assert(Holds("no change is left out", [] {
    const std::size_t capacity = *rc::gen::inRange<std::size_t>(1, 12);
    ChangeJournal journal(capacity);
    std::multimap<std::uint64_t, std::string> noted;
    std::uint64_t version = 0;
    const int count = *rc::gen::inRange(0, 30);
    for (int i = 0; i < count; ++i) {
      version += *rc::gen::inRange<std::uint64_t>(0, 3);
      const std::string key = std::to_string(*rc::gen::inRange(0, 5));
      journal.Append(version, key);
      noted.emplace(version, key);
    }
    const auto since = *rc::gen::inRange<std::uint64_t>(0, version + 2);
    const auto told = journal.ChangedSince(since);
    if (!told) {
      RC_ASSERT(noted.size() > capacity);
      return;
    }
    std::set<std::string> expected;
    for (auto at = noted.upper_bound(since); at != noted.end(); ++at) {
      expected.insert(at->second);
    }
    RC_ASSERT(*told == expected);
  }));
}

Test(change_journal, knows_nothing_from_before_it_was_read_anew) {
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
