// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>

#include "pathcleat/rollouts/version_rule.hpp"

namespace pathcleat {

/// @brief Stable name of the kind of a rule, as used in logs: "canary",
/// "other_versions", "promoted", or "only_version" if there is no rule because
/// a single version is listed.
/// @param rule null: the request may go to any version.
/// @param new_version version that the service's newest order asks for.
/// @ingroup rollouts
const char* NameOf(const VersionRule* rule, const std::string& new_version);

}  // namespace pathcleat
