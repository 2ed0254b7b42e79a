// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>

namespace pathcleat {

/// @brief Compares the strategies to keep the rate limits of upstreams, at
/// several fleet sizes and under faults.
/// @param seeds runs of each case, with the seeds 1 to `seeds`.
/// @return a Markdown table. The window ratios and the end delay are the
/// largest values of all runs; the other columns are means over the runs.
/// @ingroup lab
std::string CompareLimitStrategies(int seeds);

}  // namespace pathcleat
