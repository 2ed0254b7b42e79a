// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "pathcleat/core/store_outcome.hpp"

namespace pathcleat {

/// @brief A row of the table service.
/// @ingroup store
struct TableRow {
  std::string key;
  std::uint64_t version = 0;  ///< 0: there is no such row
  std::string value;
};

/// @brief Answer to a scan; rows in order of their keys.
/// @ingroup store
struct TableScanResult {
  StoreOutcome outcome = StoreOutcome::kNotDone;
  std::vector<TableRow> rows;
  bool has_more = false;  ///< the rest follows the last row
};

/// @brief Answer to a write.
/// @ingroup store
struct TableWriteResult {
  StoreOutcome outcome = StoreOutcome::kNotDone;
  std::uint64_t version = 0;  ///< of the row, for kDone
};

/// @brief The platform's transactional table service, as this project needs
/// it: rows with versions, written on condition. Calls are asynchronous; each
/// callback comes once, in the calling thread.
/// @ingroup store
class TableStore {
 public:
  virtual ~TableStore() = default;

  /// @brief Rows whose keys are at least from, and less than until.
  virtual void Scan(const std::string& from,
                    const std::string& until,
                    int most,
                    std::function<void(TableScanResult)> callback) = 0;

  /// @brief Writes if the row is at the expected version (0: is not there).
  virtual void Write(const std::string& key,
                     std::uint64_t expected_version,
                     const std::string& value,
                     std::function<void(TableWriteResult)> callback) = 0;

  /// @brief Writes whatever is there.
  virtual void Overwrite(const std::string& key,
                         const std::string& value,
                         std::function<void(TableWriteResult)> callback) = 0;

  /// @brief Deletes if the row is at the expected version.
  virtual void Delete(const std::string& key,
                      std::uint64_t expected_version,
                      std::function<void(TableWriteResult)> callback) = 0;
};

}  // namespace pathcleat
