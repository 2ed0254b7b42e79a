// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "pathcleat/core/store_outcome.hpp"
#include "pathcleat/store/table_store.hpp"

namespace pathcleat {

/// @brief State of a service's rollout, as reported to operators.
/// @ingroup store
enum class RolloutOutcome { kRunning, kCompleted, kRolledBack };

/// @brief Rollout status of a service, as stored.
/// @ingroup store
struct RolloutStatus {
  std::string service;
  std::string version;  ///< requested by the rollout order
  RolloutOutcome outcome = RolloutOutcome::kRunning;

  bool operator==(const RolloutStatus&) const = default;
};

/// @brief Answer to a read of a status; version is 0 if there is no row.
/// @ingroup store
struct RolloutStatusReadResult {
  StoreOutcome outcome = StoreOutcome::kNotDone;
  std::uint64_t version = 0;  ///< version of the row
  RolloutStatus status;       ///< empty service: the row could not be decoded
};

/// @brief Stores the rollout statuses that operators read. Calls are
/// asynchronous; each callback is called once.
/// @ingroup store
class RolloutStatusStore {
 public:
  virtual ~RolloutStatusStore() = default;

  virtual void Read(const std::string& service,
                    std::function<void(RolloutStatusReadResult)> callback) = 0;

  /// @brief Writes a status only if its row has the expected version (0: there
  /// is no row).
  virtual void Write(const RolloutStatus& status,
                     std::uint64_t expected_version,
                     std::function<void(TableWriteResult)> callback) = 0;
};

}  // namespace pathcleat
