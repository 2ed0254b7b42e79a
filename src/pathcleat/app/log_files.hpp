// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>
#include <vector>

#include "pathcleat/core/error.hpp"
#include "pathcleat/query/log_line.hpp"

namespace pathcleat {

/// @brief Reads collected logs, plain or compressed by gzip, sorted by time.
/// @param paths files; none: standard input.
Result<MergedLog> ReadLogFiles(const std::vector<std::string>& paths);

}  // namespace pathcleat
