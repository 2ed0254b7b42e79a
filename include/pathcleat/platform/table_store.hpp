// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "pathcleat/steer/seat_lease.hpp"

namespace pathcleat {

/// @brief A row of the table service.
/// @ingroup platform
struct TableRow {
  std::string key;
  std::uint64_t version = 0;  ///< 0: there is no such row
  std::string value;
};

/// @brief Answer to a read. The row is meaningful if the outcome is kDone.
/// @ingroup platform
struct TableRead {
  StoreOutcome outcome = StoreOutcome::kUnreachable;
  TableRow row;
};

/// @brief Answer to a scan; rows in order of their keys.
/// @ingroup platform
struct TableScan {
  StoreOutcome outcome = StoreOutcome::kUnreachable;
  std::vector<TableRow> rows;
};

/// @brief Answer to a write.
/// @ingroup platform
struct TableWrite {
  StoreOutcome outcome = StoreOutcome::kUnreachable;
  std::uint64_t version = 0;  ///< of the row, for kDone
};

/// @brief The platform's transactional table service, as this project needs
/// it: rows with versions, written on condition. All calls are asynchronous;
/// each callback comes once, in the calling thread.
/// @ingroup platform
class TableStore {
 public:
  virtual ~TableStore() = default;

  virtual void Read(const std::string& key,
                    std::function<void(TableRead)> callback) = 0;

  /// @brief Rows with the prefix whose keys are greater than after.
  virtual void Scan(const std::string& prefix,
                    const std::string& after,
                    int most,
                    std::function<void(TableScan)> callback) = 0;

  /// @brief Writes if the row is at the expected version (0: is not there).
  virtual void Write(const std::string& key,
                     std::uint64_t expected_version,
                     const std::string& value,
                     std::function<void(TableWrite)> callback) = 0;

  /// @brief Deletes if the row is at the expected version.
  virtual void Delete(const std::string& key,
                      std::uint64_t expected_version,
                      std::function<void(TableWrite)> callback) = 0;
};

}  // namespace pathcleat
