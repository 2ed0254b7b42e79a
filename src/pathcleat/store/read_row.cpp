// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/store/read_row.hpp"

#include <utility>

namespace pathcleat {

void ReadRow(TableStore& store,
             const std::string& key,
             std::function<void(RowReadResult)> callback) {
  constexpr int kOneRow = 1;
  const std::string next_key = key + '\1';
  store.Scan(
      key, next_key, kOneRow,
      [key, callback = std::move(callback)](const TableScanResult& scan) {
        RowReadResult result;
        result.outcome = scan.outcome;
        if (!scan.rows.empty() && scan.rows.front().key == key) {
          result.row = scan.rows.front();
        }
        callback(result);
      });
}

}  // namespace pathcleat
