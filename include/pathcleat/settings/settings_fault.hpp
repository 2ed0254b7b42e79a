// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>

namespace pathcleat {

/// @brief One error in a settings file.
/// @ingroup settings
struct SettingsFault {
  std::string file;
  int line = 0;      ///< 1-based; 0 if the file could not be read
  std::string key;   ///< JSON pointer, e.g. "/hosts/2/address"
  std::string text;  ///< expected and actual value
};

/// @brief Formats a fault as "file:line: key: text".
/// @ingroup settings
std::string ToString(const SettingsFault& fault);

}  // namespace pathcleat
