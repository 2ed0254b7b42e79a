// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/locate_directory.hpp"

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

// Reading the table for each question would cost a fleet of 2,300 hosts over
// 100 us a question.
constexpr Duration kMaxAge{250'000};
// Callers name the region and the domain in their questions, and may name any.
constexpr std::size_t kMaxChoices = 64;

}  // namespace

std::vector<std::string> LocateDirectory::Find(const LocateQuery& query,
                                               std::size_t max_count,
                                               Time now) {
  const HostInfo& self = hosts_.self();
  const bool with_self = !self.leaving && !self.isolated;
  const auto key = std::make_pair(query.region, query.domain);
  auto found = choices_.find(key);
  if (found != choices_.end() && (now - found->second.made >= kMaxAge ||
                                  found->second.with_self != with_self)) {
    choices_.erase(found);
    found = choices_.end();
  }
  if (found == choices_.end()) {
    if (choices_.size() >= kMaxChoices) {
      choices_.clear();
    }
    LocateChoice choice(hosts_.HostsAcceptingCallers(now), query.region,
                        query.domain);
    found =
        choices_.emplace(key, Entry{std::move(choice), now, with_self}).first;
  }
  return found->second.choice.For(StableHash(query.caller), max_count);
}

}  // namespace pathcleat
