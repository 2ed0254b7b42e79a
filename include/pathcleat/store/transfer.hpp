// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Origin, size and times of an answer received by this host.
/// @ingroup store
struct Transfer {
  std::string from;           ///< "store", or the host that answered
  std::uint64_t bytes = 0;    ///< of the answer's body
  Duration transfer_time{0};  ///< from its first byte to its last
  Duration decode_time{0};    ///< from its last byte until it was decoded
};

}  // namespace pathcleat
