// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

#include "pathcleat/store/table_store.hpp"

namespace pathcleat {

/// @brief The secrets that hosts and operators prove themselves with. Hosts
/// have no disk: the secrets lie in the store, made by whichever host is the
/// first to find none.
/// @ingroup records
class FleetSecrets {
 public:
  FleetSecrets(boost::asio::io_context& loop,
               TableStore& store,
               std::function<void()> on_known);

  /// @brief Reads the row by itself: for who needs nothing else.
  void Start() { Read(); }

  /// @brief A row that was read at the start.
  /// @return whether it is the secrets' row.
  bool HandleRow(const TableRow& row);

  /// @brief All rows have been read: without secrets among them, some are made.
  void OnRowsRead();

  /// @brief Seals messages between hosts; empty until it is known.
  const std::string& peer_key() const { return peer_key_; }

  /// @brief Proves an operator; empty until it is known.
  const std::string& operator_token() const { return operator_token_; }

 private:
  void Read();
  void Adopt(const std::string& value);
  void Create();
  void Retry();

  TableStore& store_;
  std::function<void()> on_known_;
  boost::asio::steady_timer timer_;
  std::string peer_key_;
  std::string operator_token_;
};

}  // namespace pathcleat
