// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "pathcleat/accounts/caller_identity.hpp"
#include "pathcleat/core/error.hpp"
#include "pathcleat/fleet/peer_link.hpp"
#include "pathcleat/gateway/fleet_sync.hpp"
#include "pathcleat/gateway/gateway_state.hpp"
#include "pathcleat/gateway/operator_service.hpp"
#include "pathcleat/http/http_server.hpp"
#include "pathcleat/records/command_log.hpp"
#include "pathcleat/records/fleet_secrets.hpp"
#include "pathcleat/records/rollout_writer.hpp"
#include "pathcleat/records/startup_loader.hpp"
#include "pathcleat/store/store_call_stats.hpp"

namespace pathcleat {

/// @brief What lies outside a host's tables and is shown on its metrics page.
/// @ingroup gateway
struct ProcessStats {
  std::function<LogCounts()> dropped_log_lines;  ///< lines, since the start
  const StoreCallStats* store_calls = nullptr;
};

/// @brief One entry host: takes callers' requests, chooses an upstream for
/// each and passes the answers back. Lives in the thread of its event loop.
/// @ingroup gateway
class Gateway {
 public:
  /// @param store where hosts find each other.
  /// @param source where configuration and upstreams come from.
  /// @param statuses where operators read what became of rollouts.
  /// @param digester of client accounts' keys; it gets its secret from here.
  Gateway(boost::asio::io_context& loop,
          const EntrySettings& settings,
          const HeaderNames& headers,
          TableStore& store,
          FleetSource& source,
          RolloutStatusStore& statuses,
          KeyedHasher& digester);

  /// @brief What the metrics page shows of the process around this host.
  void SetProcessStats(ProcessStats probes) { probes_ = std::move(probes); }

  /// @brief Binds all sockets and begins.
  Result<void> Start();

  /// @brief Takes over what settings may change while the host runs: bounds.
  /// Addresses and names stay as they were at the start.
  void Reload(const EntrySettings& settings);

  /// @brief A planned stop: named to no caller any more, it goes on serving
  /// until the grace time is nearly over, and cuts nothing.
  /// @param done called when nothing is left to answer.
  void Stop(std::function<void()> done);

  GatewayState& state() { return state_; }
  const FleetSecrets& secrets() const { return secrets_; }
  const CommandLog& commands() const { return commands_; }
  bool IsReady() const;

  /// @brief How far this host has come, as its heartbeats tell.
  HostVersions Versions() const;

 private:
  void NoteAwake(Time now);
  bool IsTooFarBehind() const;
  void HandleCaller(const HttpExchangePtr& exchange);
  Duration ReturnUnloaded(const HttpExchange& exchange) const;
  void RefuseKey(const HttpExchangePtr& exchange,
                 const Route& route,
                 ApiKeyFault fault);
  void HandleReadiness(const HttpExchangePtr& exchange);
  void HandleLocate(const HttpExchangePtr& exchange);
  void HandleMetrics(const HttpExchangePtr& exchange);
  void Tick();
  void FinishStop();
  void AwaitQuiet();
  void RecordStopped();
  void OnRow(const TableRow& row);
  void OnRowsRead();
  void OnSecrets();
  void OnCommands();
  void AdvanceShifts(Time now);
  void AdvanceRollouts(Time now);
  int HostsAhead(Time now) const;
  Result<void> ListenAt(HttpServer& server, const std::string& address);

  GatewayState state_;
  KeyedHasher& digester_;
  FleetSecrets secrets_;
  CommandLog commands_;
  RolloutWriter rollout_writer_;
  PeerLink peers_;
  FleetSync view_;
  StartupLoader rows_;
  HttpServer callers_;
  HttpServer readiness_;
  HttpServer locate_;
  OperatorService operator_service_;
  HttpServer operators_;
  HttpServer metrics_;
  ProcessStats probes_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer stop_timer_;
  std::function<void()> stopped_;
  Time shifts_advanced_;
  Time awake_since_;  ///< the end of the last standstill
};

}  // namespace pathcleat
