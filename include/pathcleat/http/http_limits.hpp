// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace pathcleat {

/// @brief Limits on the size and duration of HTTP messages from a peer.
/// @ingroup http
struct HttpLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 1'024ULL * 1'024;
  std::size_t max_pipelined_requests = 16;
  std::chrono::milliseconds idle_timeout{30'000};
  /// From the first byte of a request to the last.
  std::chrono::milliseconds read_timeout{10'000};
};

}  // namespace pathcleat
