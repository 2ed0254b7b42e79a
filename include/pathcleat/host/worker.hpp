// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QObject>
#include <QThread>
#include <memory>
#include <set>

#include "pathcleat/host/caller_service.hpp"
#include "pathcleat/host/peer_server.hpp"
#include "pathcleat/host/shared.hpp"
#include "pathcleat/net/http_server_connection.hpp"

namespace pathcleat {

/// @brief One thread of the worker pool with its event loop: callers'
/// connections, links of other hosts, connections to upstreams. Workers share
/// the tables in Shared and nothing else.
/// @ingroup host
class Worker {
 public:
  explicit Worker(Shared& shared);
  ~Worker();

  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  /// @brief Takes over an accepted socket of a caller, or of another host.
  void AcceptCaller(qintptr descriptor);
  void AcceptPeer(qintptr descriptor);

  /// @brief Lets each caller's connection end after its answers in flight.
  void FinishCallers();

  /// @brief Settling writes of keys that are not done yet.
  int PendingKeys();

 private:
  class Core;

  Shared& shared_;
  QThread thread_;
  Core* core_;  ///< lives in thread_
};

}  // namespace pathcleat
