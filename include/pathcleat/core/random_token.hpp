// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>

namespace pathcleat {

/// @brief Generates 32 hexadecimal digits from the system's random source
/// (libsodium).
/// @ingroup core
std::string RandomToken();

}  // namespace pathcleat
