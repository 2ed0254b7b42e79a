// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief How far all hosts together may exceed an account's limit. The hosts
/// can exceed the limit because usage reports arrive with a delay.
/// @ingroup accounts
struct QuotaBounds {
  Duration window{
      5'000'000};  ///< length of each time span in which the limit is checked
  double overage =
      0.1;            ///< allowed excess, as a share of the limit of a window
  double slack = 20;  ///< requests per window allowed above the overage
};

}  // namespace pathcleat
