// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>
#include <vector>

#include "pathcleat/settings/deployment.hpp"
#include "pathcleat/settings/settings_fault.hpp"

namespace pathcleat {

/// @brief A deployment and the faults found in its file. The deployment is
/// valid only if faults is empty.
/// @ingroup settings
struct LoadedDeployment {
  Deployment deployment;
  std::vector<SettingsFault> faults;
};

/// @brief Reads and checks a deployment file.
/// @ingroup settings
LoadedDeployment LoadDeployment(const std::string& path);

}  // namespace pathcleat
