// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief How far all hosts together may pass an account's limit, as none of
/// them knows at once what the others take.
/// @ingroup accounts
struct QuotaBounds {
  Duration window{5'000'000};  ///< any span of that length is counted
  double overage = 0.1;        ///< share of what a window allows
  double slack = 20;           ///< requests beyond that
};

}  // namespace pathcleat
