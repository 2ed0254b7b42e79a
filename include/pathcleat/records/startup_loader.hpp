// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "pathcleat/fleet/host_table.hpp"
#include "pathcleat/store/table_store.hpp"

namespace pathcleat {

/// @brief The project's own rows of the store at a start: makes this host known
/// there and reads the other hosts, the secrets and the commands, all in two
/// calls. The own row is written before the others are read, so that of two
/// hosts that start together at least one finds the other; where that write is
/// not known to be done, both are repeated.
/// @ingroup records
class StartupLoader {
 public:
  /// @param on_row given each row that is no host's.
  /// @param on_read called when all rows have been read.
  StartupLoader(boost::asio::io_context& loop,
                TableStore& store,
                HostTable& hosts,
                std::function<void(const TableRow&)> on_row,
                std::function<void()> on_read);

  void Start();

 private:
  void WriteOwn();
  void Read(const std::string& from);
  void OnScan(const TableScanResult& scan);
  void Take(const TableRow& row);
  void Retry(std::function<void()> step);

  TableStore& store_;
  HostTable& hosts_;
  std::function<void(const TableRow&)> on_row_;
  std::function<void()> on_read_;
  boost::asio::steady_timer timer_;
  bool written_ = false;  ///< the own row
};

}  // namespace pathcleat
