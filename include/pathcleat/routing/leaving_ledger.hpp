// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief What one answer of an upstream stated about whether it leaves.
/// @ingroup routing
struct LeavingStatement {
  /// Start time of the upstream that answered: an upstream may keep its id over
  /// a restart. See UpstreamInfo::started_ms.
  std::uint64_t started_ms = 0;
  bool leaving = true;
  /// If leaving: when the answer was received. Otherwise: when its request was
  /// sent, as the upstream may have begun to leave after that.
  Time stated_at;
  std::string host;    ///< host that received the answer
  std::string domain;  ///< failure domain of that host
};

/// @brief The upstreams that stated in their answers that they leave.
///
/// A statement outlives the upstream's list entry, which may still say the
/// opposite, or go and come back. Of one start of an upstream, the newest
/// statement applies. A later start begins without a statement. Not
/// thread-safe.
/// @ingroup routing
class LeavingLedger {
 public:
  /// @brief Adds a statement.
  /// @return whether the statement is the newest and differs from what applied.
  bool Add(const std::string& id, const LeavingStatement& statement);

  /// @brief Whether an upstream that started at `started_ms` leaves.
  bool IsLeaving(const std::string& id, std::uint64_t started_ms) const;

  /// @brief Drops the old statements of upstreams that are not listed, as they
  /// have ended.
  void DropExpired(const std::function<bool(const std::string&)>& is_listed,
                   Time now);

  /// @brief The newest statement of each upstream, by id.
  const std::map<std::string, LeavingStatement>& statements() const {
    return statements_;
  }

 private:
  std::map<std::string, LeavingStatement> statements_;
};

}  // namespace pathcleat
