// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <vector>

namespace pathcleat {

/// @brief Splits a limit among holders by weight so that the shares add up to
/// exactly the limit: each holder keeps its own count and the sum cannot pass
/// the limit, whatever the holders know of each other.
/// @param limit whole limit.
/// @param weights one non-negative weight a holder.
/// @ingroup steer
std::vector<int> SplitLimit(int limit, const std::vector<int>& weights);

}  // namespace pathcleat
