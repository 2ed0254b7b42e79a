// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>
#include <vector>

#include "pathcleat/core/error.hpp"
#include "pathcleat/query/log_line.hpp"

namespace pathcleat {

/// @brief Reads logs, plain or compressed by gzip, and sorts their lines by
/// time.
/// @param paths log files; empty: standard input.
/// @return the merged log; kInvalid if a file cannot be opened or read.
Result<MergedLog> ReadLogFiles(const std::vector<std::string>& paths);

}  // namespace pathcleat
