// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "pathcleat/core/store_outcome.hpp"
#include "pathcleat/store/table_store.hpp"

namespace pathcleat {

/// @brief What operators are told of a service's rollout.
/// @ingroup store
enum class RolloutOutcome { kRunning, kCompleted, kRolledBack };

/// @brief A service's status as it is to stand in the store.
/// @ingroup store
struct RolloutStatus {
  std::string service;
  std::string version;  ///< that the order asks for
  RolloutOutcome outcome = RolloutOutcome::kRunning;

  bool operator==(const RolloutStatus&) const = default;
};

/// @brief What stands there; its version is 0 if there is nothing.
/// @ingroup store
struct RolloutStatusReadResult {
  StoreOutcome outcome = StoreOutcome::kNotDone;
  std::uint64_t version = 0;  ///< of the row
  RolloutStatus status;       ///< without a service: not readable
};

/// @brief Where operators read what became of their rollouts. Calls are
/// asynchronous; each callback comes once.
/// @ingroup store
class RolloutStatusStore {
 public:
  virtual ~RolloutStatusStore() = default;

  virtual void Read(const std::string& service,
                    std::function<void(RolloutStatusReadResult)> callback) = 0;

  /// @brief Writes if the row is at the expected version (0: is not there).
  virtual void Write(const RolloutStatus& status,
                     std::uint64_t expected_version,
                     std::function<void(TableWriteResult)> callback) = 0;
};

}  // namespace pathcleat
