// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/latest_changes.hpp"

#include <criterion/criterion.h>

namespace pathcleat {
namespace {

UpstreamInfo Upstream(const std::string& id, bool leaving) {
  UpstreamInfo upstream;
  upstream.id = id;
  upstream.leaving = leaving;
  return upstream;
}

// Guards against an upstream that is dropped because an earlier change of the
// same answer removed its entry, and against one that is kept because an
// earlier change listed it.
Test(latest_changes, last_change_of_each_upstream_holds) {
  const auto latest = LatestChanges(
      {UpstreamRemoval{"returned"}, Upstream("left", false),
       Upstream("other", false), Upstream("returned", true),
       UpstreamRemoval{"left"}, UnreadableRow{"other", "no address"}});
  cr_assert_eq(latest.size(), 3U);
  const auto* returned = std::get_if<UpstreamInfo>(&latest.at(0));
  cr_assert_not_null(returned);
  cr_assert(returned->leaving);
  const auto* left = std::get_if<UpstreamRemoval>(&latest.at(1));
  cr_assert_not_null(left);
  cr_assert_str_eq(left->id.c_str(), "left");
  cr_assert_not_null(std::get_if<UnreadableRow>(&latest.at(2)));
}

Test(latest_changes, changes_of_other_kinds_are_kept) {
  const auto latest = LatestChanges(
      {DomainDrain{"d", true}, DomainDrain{"d", false}, RolloutWithdrawn{"s"}});
  cr_assert_eq(latest.size(), 3U);
}

}  // namespace
}  // namespace pathcleat
