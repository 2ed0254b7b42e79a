// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>

namespace pathcleat {

/// @brief Plays the ways to keep upstreams' limits at several sizes and under
/// faults, and tells the mean and the worst of so many seeds as a table.
/// @ingroup lab
std::string CompareLimitStrategies(int seeds);

}  // namespace pathcleat
