// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QObject>
#include <functional>
#include <memory>
#include <vector>

#include "pathcleat/core/error.hpp"
#include "pathcleat/host/config_keeper.hpp"
#include "pathcleat/host/operator_service.hpp"
#include "pathcleat/host/seat_keeper.hpp"
#include "pathcleat/host/shared.hpp"
#include "pathcleat/host/state_exchange.hpp"
#include "pathcleat/host/upstream_watch.hpp"
#include "pathcleat/host/worker.hpp"
#include "pathcleat/net/http_server_connection.hpp"
#include "pathcleat/net/tcp_acceptor.hpp"
#include "pathcleat/platform/http_platform.hpp"

namespace pathcleat {

/// @brief One entry host: the worker pool, and in the constructing thread
/// everything that is rare (leases, heartbeats, configuration, operators).
/// @ingroup host
class EntryHost : public QObject {
 public:
  explicit EntryHost(const HostSettings& settings, QObject* parent = nullptr);
  ~EntryHost() override;

  /// @brief Binds all ports and starts; on failure nothing runs.
  Result<void> Start();

  /// @brief Begins a planned stop: callers are sent elsewhere, seats handed
  /// over, requests in flight finished.
  /// @param stopped called once nothing is left to do.
  void Stop(std::function<void()> stopped);

  Shared& shared() { return shared_; }

 private:
  void Every(Duration period, std::function<void()> action);
  void StartTimers();
  void Announce(ConfigSource source);
  void OnStoreCall(StoreOutcome outcome);
  void CheckStopped();
  bool IsQuiet();
  void AcceptOperator(qintptr descriptor);
  Worker& NextWorker();

  Shared shared_;
  HttpPlatform platform_;
  SeatKeeper seats_;
  ConfigKeeper config_;
  StateExchange state_;
  UpstreamWatch watch_;
  OperatorService operators_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::size_t next_worker_ = 0;
  TcpAcceptor caller_port_;
  TcpAcceptor peer_port_;
  TcpAcceptor operator_port_;
  Time stop_began_;
  bool callers_finished_ = false;
  bool platform_reported_ = false;
  std::function<void()> stopped_;
};

}  // namespace pathcleat
