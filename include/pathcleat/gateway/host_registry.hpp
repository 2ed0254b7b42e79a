// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "pathcleat/fleet/host_table.hpp"
#include "pathcleat/store/table_store.hpp"

namespace pathcleat {

/// @brief Makes this host known in the store and learns the others from it.
/// The own row is written before the others are read, so that of two hosts
/// that start together at least one finds the other.
/// @ingroup gateway
class HostRegistry {
 public:
  /// @param on_listed called after the others have been read.
  HostRegistry(boost::asio::io_context& loop,
               TableStore& store,
               HostTable& hosts,
               std::function<void()> on_listed);

  void Start();

 private:
  void WriteOwn();
  void ReadOthers(const std::string& from);
  void OnScan(const TableScan& scan);
  void Retry(std::function<void()> step);

  TableStore& store_;
  HostTable& hosts_;
  std::function<void()> on_listed_;
  boost::asio::steady_timer timer_;
};

}  // namespace pathcleat
