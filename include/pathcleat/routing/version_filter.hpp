// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <vector>

#include "pathcleat/rollouts/version_rule.hpp"
#include "pathcleat/routing/key_placement.hpp"

namespace pathcleat {

/// @brief Leaves the candidates to which a rule on versions lets a request go;
/// that may be none, also where others could serve it.
/// @ingroup routing
void FilterByVersion(std::vector<Candidate>& candidates,
                     const VersionRule& rule);

}  // namespace pathcleat
