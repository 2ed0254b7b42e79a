// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief How far all hosts together may exceed an account's limit. They can
/// exceed it because reports of usage reach the other hosts with a delay.
/// @ingroup accounts
struct QuotaBounds {
  Duration window{5'000'000};  ///< any time span of this length is checked
  double overage = 0.1;  ///< allowed excess, as a share of a window's limit
  double slack = 20;     ///< requests allowed beyond that
};

}  // namespace pathcleat
