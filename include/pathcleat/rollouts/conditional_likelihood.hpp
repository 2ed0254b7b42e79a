// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/rollouts/response_counts.hpp"

namespace pathcleat {

/// @brief Log likelihood ratio of one stratum: the odds of an event are
/// `odds_ratio` times as high at the new version, against equal odds. It is
/// conditional on the stratum's margins, by Fisher's noncentral hypergeometric
/// distribution, so it does not depend on how frequent events are. Zero if only
/// one side has responses.
/// @param odds_ratio above 1.
/// @ingroup rollouts
double LogConditionalRatio(const StratumCounts& stratum, double odds_ratio);

}  // namespace pathcleat
