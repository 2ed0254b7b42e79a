// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>

namespace pathcleat {

/// @brief What the choice of a version depends on.
/// @ingroup gateway
struct VersionRequest {
  bool is_first_attempt = false;  ///< false: never sent to a version on trial
  std::uint64_t key = 0;          ///< hash of the request's key
};

}  // namespace pathcleat
