// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>

namespace pathcleat {

/// @brief State of the test of a version.
/// @ingroup rollouts
enum class VerdictState : std::uint8_t { kUndecided, kGood, kBad };

/// @brief Stable lower-case name of a verdict, as shown to operators.
/// @ingroup rollouts
const char* ToString(VerdictState verdict);

}  // namespace pathcleat
