// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>

namespace pathcleat {

/// @brief Compares the strategies to keep the rate limits of upstreams, at
/// several fleet sizes and under faults.
/// @param seeds runs of each case, with the seeds 1 to `seeds`.
/// @return a Markdown table: for the bounds and the end delay the worst of the
/// runs, else their mean.
/// @ingroup lab
std::string CompareLimitStrategies(int seeds);

}  // namespace pathcleat
