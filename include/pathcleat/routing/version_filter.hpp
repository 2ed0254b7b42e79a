// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <vector>

#include "pathcleat/rollouts/version_rule.hpp"
#include "pathcleat/routing/key_placement.hpp"

namespace pathcleat {

/// @brief Removes the candidates that a version rule does not allow. This may
/// leave no candidates, even if upstreams of other versions could serve the
/// request.
/// @ingroup routing
void FilterByVersion(std::vector<Candidate>& candidates,
                     const VersionRule& rule);

}  // namespace pathcleat
