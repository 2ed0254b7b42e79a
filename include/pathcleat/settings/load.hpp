// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>
#include <vector>

#include "pathcleat/settings/host_settings.hpp"
#include "pathcleat/settings/settings_fault.hpp"

namespace pathcleat {

/// @brief Settings, and all that is wrong with them; usable if faults is empty.
/// @ingroup settings
struct LoadedSettings {
  HostSettings settings;
  std::vector<SettingsFault> faults;
};

/// @brief Reads a host's settings file and the files it names, whole.
/// File names inside it are relative to it. Starts and changes nothing.
/// @ingroup settings
LoadedSettings LoadSettings(const std::string& path);

/// @brief A deployment, and all that is wrong with it.
/// @ingroup settings
struct LoadedDeployment {
  Deployment deployment;
  std::vector<SettingsFault> faults;
};

/// @brief Reads a deployment's file alone.
/// @ingroup settings
LoadedDeployment LoadDeployment(const std::string& path);

}  // namespace pathcleat
