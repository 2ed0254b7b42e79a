// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "pathcleat/accounts/caller_identity.hpp"
#include "pathcleat/core/error.hpp"
#include "pathcleat/fleet/load_step_control.hpp"
#include "pathcleat/fleet/peer_link.hpp"
#include "pathcleat/fleet/utilization_meter.hpp"
#include "pathcleat/gateway/fleet_sync.hpp"
#include "pathcleat/gateway/gateway_state.hpp"
#include "pathcleat/gateway/host_ports.hpp"
#include "pathcleat/gateway/operator_service.hpp"
#include "pathcleat/http/http_server.hpp"
#include "pathcleat/records/command_log.hpp"
#include "pathcleat/records/fleet_secrets.hpp"
#include "pathcleat/records/rollout_writer.hpp"
#include "pathcleat/records/startup_loader.hpp"
#include "pathcleat/store/store_call_stats.hpp"

namespace pathcleat {

/// @brief Statistics of the process that the metrics page shows in addition
/// to the state of the host.
/// @ingroup gateway
struct ProcessStats {
  /// Log lines dropped since the start of the process, by class.
  std::function<LogCounts()> dropped_log_lines;
  StoreCallStats* store_calls = nullptr;  ///< unreadable answers are logged
};

/// @brief One entry host: accepts callers' requests, chooses an upstream for
/// each and passes the answers back. Runs in the thread of its event loop.
/// @ingroup gateway
class Gateway {
 public:
  /// @param store the table with the rows of hosts, secrets and commands.
  /// @param source provides the configuration and the list of upstreams.
  /// @param statuses stores the status of rollouts for operators.
  /// @param account_key_hasher hashes the API keys of client accounts; the
  /// gateway sets the secret of the hasher.
  Gateway(boost::asio::io_context& loop,
          const EntrySettings& settings,
          const HeaderNames& headers,
          TableStore& store,
          FleetSource& source,
          RolloutStatusStore& statuses,
          KeyedHasher& account_key_hasher);

  /// @brief Sets the statistics of the process that the metrics page shows.
  void SetProcessStats(ProcessStats process_stats);

  /// @brief Called if the host cannot start after Start has returned.
  using StartFailureHandler = std::function<void(const Error&)>;

  /// @brief Opens all ports, then starts to serve. While another socket has one
  /// of the ports, nothing is opened, and all are tried again at intervals
  /// until the host can start or is stopped.
  /// @param on_failed called if one of the later attempts fails for another
  /// reason than a port that is taken.
  /// @return such a failure of the first attempt.
  Result<void> Start(StartFailureHandler on_failed);

  /// @brief Applies the bounds of new settings, the only settings that may
  /// change while the host runs. Addresses and names keep their first values.
  void Reload(const EntrySettings& settings);

  /// @brief Begins a planned stop: the host is no longer listed to callers, but
  /// serves requests until the grace time is nearly over. No request is cut off
  /// before then.
  /// @param done called when no answer is outstanding or the grace time is
  /// nearly over.
  void Stop(std::function<void()> done);

  GatewayState& state() { return state_; }
  const FleetSecrets& secrets() const { return secrets_; }
  const CommandLog& commands() const { return commands_; }
  bool IsReady() const;

  /// @brief The versions that this host has, as published in its heartbeats.
  HostVersions Versions() const;

 private:
  static constexpr const char* kConfigBehind = "a newer configuration is due";

  void HandleStall(Time now);
  bool IsTooFarBehind() const;
  using ExchangeStep = void (Gateway::*)(const HttpExchangePtr&);
  void HandleWhenCaughtUp(const HttpExchangePtr& exchange, ExchangeStep step);
  void HandleContained(const HttpExchangePtr& exchange, ExchangeStep step);
  void HandleCaller(const HttpExchangePtr& exchange);
  void HandleForwarded(const HttpExchangePtr& exchange);
  std::string ReasonToDecline(const Route* route) const;
  void OnReachChange();
  Duration RetryDelayWithoutConfig(const HttpExchange& exchange) const;
  bool RequiresKeys() const;
  void RefuseApiKey(const HttpExchangePtr& exchange,
                    const Route& route,
                    ApiKeyFault fault);
  void HandleReadiness(const HttpExchangePtr& exchange);
  void HandleLocate(const HttpExchangePtr& exchange);
  void HandleMetrics(const HttpExchangePtr& exchange);
  void UpdateLoad(Time now);
  Result<void> AddPorts();
  std::optional<Error> OpenPorts();
  void AwaitPorts(const Error& taken);
  void StartServing();
  void Tick();
  void RunTickSteps(Time now);
  void TickReach(Time now);
  void RecordSilentHosts(Time now);
  void RunStopStep(const std::function<void()>& step);
  void StopAccepting();
  void WaitUntilIdle();
  void RecordStopped();
  void OnTableRow(const TableRow& row);
  void OnRowsRead();
  void OnSecrets();
  void OnCommands();
  void AdvanceShifts(Time now);
  void AdvanceRollouts(Time now);
  void UpdateDecisionFreshness(const std::vector<PeerDecisions>& peers,
                               Time now);
  int CountHostsAhead(Time now) const;
  void LimitServers();
  void LimitServer(HttpServer& server,
                   const std::string& listener,
                   std::size_t max_connections);

  GatewayState state_;
  KeyedHasher& account_key_hasher_;
  FleetSecrets secrets_;
  CommandLog commands_;
  Time decisions_read_at_;  ///< begin of the last read for freshness
  RolloutWriter rollout_writer_;
  PeerLink peer_link_;
  FleetSync fleet_sync_;
  StartupLoader startup_loader_;
  HttpServer caller_server_;
  HttpServer readiness_server_;
  HttpServer locate_server_;
  OperatorService operator_service_;
  HttpServer operator_server_;
  HttpServer metrics_server_;
  HostPorts ports_;
  StartFailureHandler on_start_failed_;
  Time start_called_at_;
  /// Steps and addresses of the taken ports that were reported.
  std::set<std::pair<std::string, std::string>> reported_ports_;
  bool is_serving_ = false;  ///< all ports are open
  ProcessStats process_stats_;
  UtilizationMeter cpu_utilization_;
  LoadStepControl load_steps_;
  std::size_t max_caller_connections_ = 0;  ///< 0: no limit
  boost::asio::steady_timer start_timer_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer stop_timer_;
  std::function<void()> on_stopped_;
  bool closes_idle_ = false;  ///< the stop has begun to close idle connections
  Time shifts_advanced_at_;
  Time stall_ended_at_;  ///< end of the last stall of this process
};

}  // namespace pathcleat
