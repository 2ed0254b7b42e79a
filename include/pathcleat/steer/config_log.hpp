// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "pathcleat/steer/config_state.hpp"

namespace pathcleat {

/// @brief The configuration of one host and its newest changes, from which
/// peers with older versions are updated. The version never decreases. Not
/// thread-safe.
/// @ingroup steer
class ConfigLog {
 public:
  /// @param kept_changes maximum number of changes kept for peers.
  explicit ConfigLog(std::size_t kept_changes);

  const ConfigState& state() const { return state_; }
  std::uint64_t version() const { return state_.version; }

  /// @brief Applies each change whose version directly follows the current
  /// version, and skips the other changes.
  /// @return the changes that were applied.
  std::vector<ConfigChange> Apply(const std::vector<ConfigChange>& changes);

  /// @brief Replaces the own state by the given state if the given state is
  /// newer.
  /// @return whether the state was replaced.
  bool ReplaceIfNewer(const ConfigState& state);

  /// @brief The changes after a version, oldest first.
  /// @param max_changes maximum number to return.
  /// @return empty if there are no such changes, or if this host no longer
  /// keeps them.
  std::vector<ConfigChange> ChangesAfter(std::uint64_t version,
                                         std::size_t max_changes) const;

  /// @brief Whether a peer that has this version can be updated with the
  /// changes that are kept.
  bool CanReplayFrom(std::uint64_t version) const;

 private:
  std::size_t kept_changes_;
  ConfigState state_;
  std::deque<ConfigChange> changes_;
};

}  // namespace pathcleat
