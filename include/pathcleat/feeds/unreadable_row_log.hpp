// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>

#include "pathcleat/store/fleet_source.hpp"

namespace pathcleat {

/// @brief Remembers which unreadable rows have been logged, so that a row that
/// stays is logged once for each reason and not with each read of its topic.
/// @ingroup feeds
class UnreadableRowLog {
 public:
  /// Number of remembered rows. When it is reached, all are forgotten.
  static constexpr std::size_t kMaxRows = 4'096;

  /// @brief Whether the row is to be logged: it is not remembered, or was
  /// unreadable for another reason.
  bool IsNew(SourceTopic topic, const UnreadableRow& row);

  /// @brief Forgets a row that is readable again.
  void Forget(SourceTopic topic, const std::string& key);

  /// @brief Forgets all rows of a topic.
  void ForgetAll(SourceTopic topic);

 private:
  /// Reason by topic and key; rows without a readable key are told apart by
  /// their reasons.
  std::map<std::pair<SourceTopic, std::string>, std::string> reasons_;
};

}  // namespace pathcleat
