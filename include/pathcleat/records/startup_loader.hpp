// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "pathcleat/fleet/host_table.hpp"
#include "pathcleat/store/table_store.hpp"

namespace pathcleat {

/// @brief Loads the fleet's rows from the store at startup: writes this host's
/// row and reads the rows of the other hosts, the secrets and the commands, in
/// two calls. This host's row is written before the other rows are read, so
/// that of two hosts that start together at least one finds the other. If the
/// write is not confirmed, the write and the read are repeated.
/// @ingroup records
class StartupLoader {
 public:
  /// @param on_row called with each row that does not describe a host.
  /// @param on_read called each time that all rows have been read.
  StartupLoader(boost::asio::io_context& loop,
                TableStore& store,
                HostTable& hosts,
                std::function<void(const TableRow&)> on_row,
                std::function<void()> on_read);

  void Start();

 private:
  void WriteOwnRow();
  void Read(const std::string& from);
  void OnScan(const TableScanResult& scan);
  void HandleRow(const TableRow& row);
  void Retry(std::function<void()> step);

  TableStore& store_;
  HostTable& hosts_;
  std::function<void(const TableRow&)> on_row_;
  std::function<void()> on_read_;
  boost::asio::steady_timer timer_;
  bool own_row_written_ = false;  ///< this host's row is stored
};

}  // namespace pathcleat
