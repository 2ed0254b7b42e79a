// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/config_log.hpp"

namespace pathcleat {

ConfigLog::ConfigLog(std::size_t kept_changes) : kept_changes_(kept_changes) {}

std::vector<ConfigChange> ConfigLog::Apply(
    const std::vector<ConfigChange>& changes) {
  std::vector<ConfigChange> applied;
  for (const ConfigChange& change : changes) {
    if (!pathcleat::Apply(state_, change)) {
      continue;
    }
    applied.push_back(change);
    changes_.push_back(change);
    if (changes_.size() > kept_changes_) {
      changes_.pop_front();
    }
  }
  return applied;
}

bool ConfigLog::ReplaceIfNewer(const ConfigState& state) {
  if (state.version <= state_.version) {
    return false;
  }
  state_ = state;
  changes_.clear();
  return true;
}

std::vector<ConfigChange> ConfigLog::ChangesAfter(
    std::uint64_t version,
    std::size_t max_changes) const {
  std::vector<ConfigChange> found;
  if (!CanReplayFrom(version)) {
    return found;
  }
  for (const ConfigChange& change : changes_) {
    if (change.version > version && found.size() < max_changes) {
      found.push_back(change);
    }
  }
  return found;
}

bool ConfigLog::CanReplayFrom(std::uint64_t version) const {
  const std::uint64_t first_kept =
      changes_.empty() ? state_.version + 1 : changes_.front().version;
  return version + 1 >= first_kept;
}

}  // namespace pathcleat
