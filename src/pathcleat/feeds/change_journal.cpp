// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/change_journal.hpp"

#include <algorithm>

namespace pathcleat {

ChangeJournal::ChangeJournal(std::size_t capacity) : capacity_(capacity) {}

void ChangeJournal::Append(std::uint64_t version, const std::string& key) {
  changes_.push_back({version, key});
  if (changes_.size() > capacity_) {
    complete_after_ = std::max(complete_after_, changes_.front().version);
    changes_.pop_front();
  }
}

void ChangeJournal::ResetTo(std::uint64_t version) {
  complete_after_ = std::max(complete_after_, version);
  changes_.clear();
}

std::optional<std::set<std::string>> ChangeJournal::ChangedSince(
    std::uint64_t version) const {
  if (version < complete_after_) {
    return std::nullopt;
  }
  std::set<std::string> keys;
  for (auto change = changes_.rbegin();
       change != changes_.rend() && change->version > version; ++change) {
    keys.insert(change->key);
  }
  return keys;
}

}  // namespace pathcleat
