// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

#include "pathcleat/store/table_store.hpp"

namespace pathcleat {

/// @brief The secrets by which hosts and operators authenticate themselves.
/// Hosts have no disk, so the secrets are kept in the store. The first host
/// that finds none there creates them.
/// @ingroup records
class FleetSecrets {
 public:
  FleetSecrets(boost::asio::io_context& loop,
               TableStore& store,
               std::function<void()> on_loaded);

  /// @brief Reads the secrets' row alone, for processes that need no other
  /// rows.
  void Start() { Read(); }

  /// @brief Handles a row that was read at startup.
  /// @return whether the row holds the secrets.
  bool HandleRow(const TableRow& row);

  /// @brief Creates the secrets if they were not among the rows read at
  /// startup, once all rows have been read.
  void OnRowsRead();

  /// @brief Key that authenticates messages between hosts; empty until loaded.
  const std::string& peer_key() const { return peer_key_; }

  /// @brief Token that authenticates operators; empty until loaded.
  const std::string& operator_token() const { return operator_token_; }

 private:
  void Read();
  void SetSecrets(const std::string& value);
  void Create();
  void Retry();

  TableStore& store_;
  std::function<void()> on_loaded_;
  boost::asio::steady_timer timer_;
  bool tried_to_create_ = false;  ///< the row was written, or a write failed
  std::string peer_key_;
  std::string operator_token_;
};

}  // namespace pathcleat
