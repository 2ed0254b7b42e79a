// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "pathcleat/steer/config_state.hpp"

namespace pathcleat {

/// @brief The configuration in force at one host and its newest changes, from
/// which peers that lag are served. The version only ever rises. Not
/// thread-safe.
/// @ingroup steer
class ConfigLog {
 public:
  /// @param kept_changes how many changes are kept for peers.
  explicit ConfigLog(std::size_t kept_changes);

  const ConfigState& state() const { return state_; }
  std::uint64_t version() const { return state_.version; }

  /// @brief Applies those of the changes that follow on; the rest is left.
  /// @return the changes that were applied.
  std::vector<ConfigChange> Apply(const std::vector<ConfigChange>& changes);

  /// @brief Takes over a whole state, if it is newer.
  /// @return whether it was.
  bool ReplaceIfNewer(const ConfigState& state);

  /// @brief The changes after a version, oldest first.
  /// @param most largest number to return.
  /// @return empty if there are none, or if they are no longer kept.
  std::vector<ConfigChange> ChangesAfter(std::uint64_t version,
                                         std::size_t most) const;

  /// @brief Whether a peer at this version can be served by changes.
  bool CanReplayFrom(std::uint64_t version) const;

 private:
  std::size_t kept_changes_;
  ConfigState state_;
  std::deque<ConfigChange> changes_;
};

}  // namespace pathcleat
