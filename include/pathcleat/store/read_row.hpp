// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <functional>
#include <string>

#include "pathcleat/store/table_store.hpp"

namespace pathcleat {

/// @brief Answer to a read of one row; row.version is 0 if there is no row.
/// @ingroup store
struct RowReadResult {
  StoreOutcome outcome = StoreOutcome::kNotDone;
  TableRow row;
};

/// @brief Reads one row; `callback` is called once.
/// @ingroup store
void ReadRow(TableStore& store,
             const std::string& key,
             std::function<void(RowReadResult)> callback);

}  // namespace pathcleat
