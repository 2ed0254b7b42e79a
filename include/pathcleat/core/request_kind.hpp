// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Priority of requests under overload: kDownload is refused first,
/// kSubmission last.
/// @ingroup core
enum class Priority : std::uint8_t {
  kSubmission = 0,
  kLookup = 1,
  kDownload = 2,
};

/// @brief Number of priorities.
constexpr int kPriorityCount = 3;

/// @brief Stable lower-case name of a priority.
/// @ingroup core
const char* ToString(Priority priority);

/// @brief One kind of request that a service declares.
/// @ingroup core
struct RequestKind {
  std::string name;
  std::vector<std::string> methods;
  std::string path_prefix = "/";  ///< relative to the service's prefix
  bool repeatable = false;
  Priority priority = Priority::kLookup;
  Duration deadline{2'000'000};
  std::uint64_t max_body_bytes = 0;
};

}  // namespace pathcleat
