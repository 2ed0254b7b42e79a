// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "pathcleat/accounts/account_table.hpp"
#include "pathcleat/calls/connection_pool.hpp"
#include "pathcleat/calls/header_names.hpp"
#include "pathcleat/calls/idempotency_key_store.hpp"
#include "pathcleat/calls/in_flight_requests.hpp"
#include "pathcleat/calls/shutdown_schedule.hpp"
#include "pathcleat/calls/unknown_headers.hpp"
#include "pathcleat/core/event_log.hpp"
#include "pathcleat/core/handler_failures.hpp"
#include "pathcleat/core/loop_passes.hpp"
#include "pathcleat/core/loop_turns.hpp"
#include "pathcleat/crashes/crash_tracker.hpp"
#include "pathcleat/fleet/host_table.hpp"
#include "pathcleat/fleet/locate_directory.hpp"
#include "pathcleat/fleet/peer_traffic.hpp"
#include "pathcleat/gateway/client_regions.hpp"
#include "pathcleat/gateway/quota_enforcer.hpp"
#include "pathcleat/gateway/reach_monitor.hpp"
#include "pathcleat/gateway/version_request.hpp"
#include "pathcleat/http/listen_probe.hpp"
#include "pathcleat/rollouts/decision_freshness.hpp"
#include "pathcleat/rollouts/rollout_control.hpp"
#include "pathcleat/routing/rate_share.hpp"
#include "pathcleat/routing/route_table.hpp"
#include "pathcleat/routing/split_balancer.hpp"
#include "pathcleat/routing/statement_exchange.hpp"
#include "pathcleat/routing/upstream_picker.hpp"
#include "pathcleat/routing/upstream_table.hpp"
#include "pathcleat/settings/entry_settings.hpp"
#include "pathcleat/steer/retry_budget.hpp"
#include "pathcleat/telemetry/account_stats.hpp"
#include "pathcleat/telemetry/memory_monitor.hpp"
#include "pathcleat/telemetry/metrics.hpp"
#include "pathcleat/telemetry/rejection_log.hpp"
#include "pathcleat/telemetry/request_log.hpp"
#include "pathcleat/telemetry/send_stages.hpp"
#include "pathcleat/telemetry/trace_store.hpp"
#include "pathcleat/telemetry/version_stats.hpp"

namespace pathcleat {

/// @brief Requests that this host forwards to other hosts, or that other hosts
/// forward to it.
/// @ingroup gateway
struct ForwardState {
  explicit ForwardState(boost::asio::io_context& loop) : connections(loop) {}

  ConnectionPool connections;            ///< to other hosts, by their names
  std::map<std::string, int> in_flight;  ///< sent from here, by host
  int received_in_flight = 0;
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  std::uint64_t declined = 0;  ///< received, but declined by this host
  /// Until when requests for a service are not forwarded while this host is not
  /// isolated, as other hosts do not reach the service either.
  std::map<std::string, Time> useless_until;
};

/// @brief The state of one host. All access happens in the thread of its event
/// loop, so no locks are needed.
/// @ingroup gateway
struct GatewayState {
  GatewayState(boost::asio::io_context& event_loop,
               const EntrySettings& entry_settings,
               const HeaderNames& header_names,
               TableStore& store,
               const KeyedHasher& key_hasher,
               std::uint64_t incarnation);

  /// @brief The budget of this host for retries of requests to a service.
  RetryBudget& RetryBudgetOf(const std::string& service);

  /// @brief Called when an exchange with an upstream has ended, with any
  /// outcome.
  void OnAttemptEnded(UpstreamState& upstream);

  /// @brief Called when an upstream could not be reached or sent no complete
  /// answer.
  void OnAttemptFailed(UpstreamState& upstream);

  /// @brief Divides the limits of the fleet (links, retries, account limits,
  /// rates of upstreams) among the hosts that are alive.
  void UpdateHostShares(Time now);

  /// @brief Updates which hosts take part in trials of requests that crash
  /// upstreams, and expires old crash records.
  void TickCrashes(Time now);

  /// @brief Whether the event loop is so late that changes of the upstream list
  /// may lie unread: see RunAfterPasses.
  bool IsLoopLate(Time now) const { return now - tick_due_at >= kLateLoop; }

  /// @brief Updates each rollout with the versions of the listed upstreams and
  /// with the number of requests in flight at upstreams of other versions.
  void RefreshRollouts();

  /// @brief What the other hosts follow; without hosts that have stopped.
  std::vector<PeerDecisions> DecisionsOfPeers(Time now) const;

  /// @brief Versions that a request to a service may go to now.
  VersionRulePtr VersionRuleFor(const std::string& service,
                                const VersionRequest& request,
                                Time now);

  /// @brief Whether a request for which a version was chosen earlier may be
  /// sent to it now.
  bool MaySendToVersion(const std::string& service,
                        const std::string& version,
                        Time now);

  boost::asio::io_context& loop;
  Time started_at = BootClock::now();  ///< when the host began to serve
  EntrySettings settings;
  const HeaderNames headers;
  EventLog events;
  HandlerFailures failures{events};
  MemoryBudgetPtr memory_budget;
  MemoryMonitor memory_monitor;
  RejectionLog rejections;
  HostTable hosts;
  LocateDirectory locate;
  RouteTable routes;
  const KeyedHasher& account_key_hasher;
  KeyedHasher request_hasher{kRequestDigestPurpose};
  AccountTable accounts;
  QuotaEnforcer quotas;
  AccountStats account_stats;
  UpstreamTable upstreams;
  UpstreamPicker picker;
  SplitBalancer splits;
  ConnectionPool connection_pool;
  ReachMonitor reach;
  ForwardState forwards;
  std::string fleet_key;  ///< authenticates the hosts to each other
  IdempotencyKeyStore idempotency_keys;
  ClientRegions client_regions;
  TraceStore traces;
  RequestLog request_log;
  Metrics metrics;
  LoopTurns loop_turns;
  Time tick_due_at = started_at;  ///< when the periodic work is due next
  SendStages send_stages;
  VersionStats version_stats;
  PeerTraffic peer_traffic;
  std::map<std::string, RetryBudget> retry_budgets;  ///< by service
  InFlightRequests in_flight_requests;
  ShutdownSchedule shutdown;
  RolloutControl rollouts;
  DecisionFreshness decision_freshness;
  CrashTracker crashes;
  ListenProbe listen_probe;
  UnknownHeaders unknown_headers;
  StatementExchange upstream_statements;
  int in_flight_count = 0;  ///< callers' requests not answered yet
  std::uint64_t next_request = 1;
  bool leaving = false;
  bool store_reachable = false;
  Time routes_applied_at;  ///< when this host last applied routes
  /// When the store last answered any host of the fleet about the
  /// configuration, updated at each tick.
  Time orders_answered_at;
  std::uint64_t upstream_list_version = 0;
  Time upstream_list_changed_at;  ///< when this host last updated the list

 private:
  /// @brief Updates the bounds of account limits and the hosts that share them.
  void UpdateQuotaHosts(Time now);

  /// @brief Updates this host's share of the rate of each rate-bounded
  /// upstream.
  void UpdateRateShares(Time now);
  std::optional<RateBound> RateBoundOf(const UpstreamState& upstream,
                                       Time now) const;
  void OnLimitChange(UpstreamState& upstream, LimitChange change);
  void OnLeavingChange(const UpstreamState& upstream,
                       const LeavingStatement& statement);
  double RetryBurst(Time now) const;
};

}  // namespace pathcleat
