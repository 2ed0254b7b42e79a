// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <optional>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Ages of the reports that a sum over the fleet consists of.
/// @ingroup rollouts
struct ReportAges {
  std::optional<Duration> newest;  ///< of the reports that are not overdue
  std::optional<Duration> oldest;  ///< of the reports that are not overdue
  /// Sources (hosts of the own failure domain, other domains) whose report is
  /// overdue. Their answers stay in the sum.
  int overdue = 0;
};

}  // namespace pathcleat
