// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "pathcleat/core/store_outcome.hpp"

namespace pathcleat {

/// @brief Version of a row that exists and whose version cannot be read. No row
/// has it, so that a write on this condition conflicts.
/// @ingroup store
constexpr std::uint64_t kUnknownRowVersion = UINT64_MAX;

/// @brief A row of the table service.
/// @ingroup store
struct TableRow {
  std::string key;
  std::uint64_t version = 0;  ///< 0: there is no row
  std::string value;          ///< empty also if it cannot be read
};

/// @brief Answer to a scan; rows are sorted by key.
/// @ingroup store
struct TableScanResult {
  StoreOutcome outcome = StoreOutcome::kNotDone;
  std::vector<TableRow> rows;
  bool has_more = false;  ///< more rows follow the last one
};

/// @brief Answer to a write.
/// @ingroup store
struct TableWriteResult {
  StoreOutcome outcome = StoreOutcome::kNotDone;
  std::uint64_t version = 0;  ///< new version of the row if outcome is kDone
};

/// @brief The platform's transactional table service, reduced to the operations
/// in use: rows with versions and conditional writes. Calls are asynchronous;
/// each callback is called once, in the calling thread.
/// @ingroup store
class TableStore {
 public:
  virtual ~TableStore() = default;

  /// @brief Reads up to `max_rows` rows with keys in [from, until).
  virtual void Scan(const std::string& from,
                    const std::string& until,
                    int max_rows,
                    std::function<void(TableScanResult)> callback) = 0;

  /// @brief Writes a row only if it has the expected version (0: there is no
  /// row).
  virtual void Write(const std::string& key,
                     std::uint64_t expected_version,
                     const std::string& value,
                     std::function<void(TableWriteResult)> callback) = 0;

  /// @brief Writes a row without a condition on its version.
  virtual void Overwrite(const std::string& key,
                         const std::string& value,
                         std::function<void(TableWriteResult)> callback) = 0;

  /// @brief Deletes a row only if it has the expected version.
  virtual void Delete(const std::string& key,
                      std::uint64_t expected_version,
                      std::function<void(TableWriteResult)> callback) = 0;
};

}  // namespace pathcleat
