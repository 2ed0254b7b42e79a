// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/unreadable_row_log.hpp"

namespace pathcleat {

bool UnreadableRowLog::IsNew(SourceTopic topic, const UnreadableRow& row) {
  if (reasons_.size() >= kMaxRows) {
    reasons_.clear();
  }
  const std::string& name = row.key.empty() ? row.reason : row.key;
  const auto [entry, inserted] =
      reasons_.try_emplace({topic, name}, row.reason);
  if (inserted) {
    return true;
  }
  const bool changed = entry->second != row.reason;
  entry->second = row.reason;
  return changed;
}

void UnreadableRowLog::Forget(SourceTopic topic, const std::string& key) {
  if (!reasons_.empty()) {
    reasons_.erase({topic, key});
  }
}

void UnreadableRowLog::ForgetAll(SourceTopic topic) {
  std::erase_if(reasons_, [topic](const auto& entry) {
    return entry.first.first == topic;
  });
}

}  // namespace pathcleat
