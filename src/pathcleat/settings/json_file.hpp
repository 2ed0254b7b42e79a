// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "pathcleat/settings/settings_fault.hpp"

namespace pathcleat {

/// @brief A parsed JSON file (comments allowed) and the line number at which
/// each value starts.
struct JsonFile {
  std::string path;
  nlohmann::json root;
  std::map<std::string, int> lines;  ///< line number by JSON pointer

  int LineOf(const std::string& pointer) const;
};

/// @brief Reads and parses a file. Errors are appended to faults; after a
/// syntax error root is null.
JsonFile ReadJsonFile(const std::string& path,
                      std::vector<SettingsFault>& faults);

}  // namespace pathcleat
