// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief How far all hosts together may expose callers to a version that may
/// be bad.
/// @ingroup rollouts
struct RolloutBounds {
  /// Share of a service's requests, from the order to its deadline, that may go
  /// to the version.
  double exposure_share = 0;
  double exposure_slack = 0;  ///< requests allowed above the share
  /// Time after the version's 50th bad answer from which it gets no request.
  Duration rollback{0};
};

}  // namespace pathcleat
