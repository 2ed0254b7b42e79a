// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pathcleat/calls/connection_pool.hpp"
#include "pathcleat/calls/upstream_reach.hpp"
#include "pathcleat/core/event_log.hpp"
#include "pathcleat/http/http_client.hpp"
#include "pathcleat/routing/route_table.hpp"
#include "pathcleat/routing/upstream_table.hpp"

namespace pathcleat {

/// @brief Observes whether this host reaches the upstreams: collects the
/// results of attempts, sends probes while these leave a doubt, and records
/// when the host becomes isolated and when it is connected again.
///
/// A probe is a health check over a new connection. Any answer, also a
/// rejection, shows that the host reaches the upstream.
/// @ingroup gateway
class ReachMonitor {
 public:
  /// @param connections opens the connections of probes.
  /// @param host name of this host, for its events.
  ReachMonitor(ConnectionPool& connections,
               EventLog& events,
               const std::string& host,
               const UpstreamTable& upstreams,
               const RouteTable& routes);
  ~ReachMonitor();
  ReachMonitor(const ReachMonitor&) = delete;
  ReachMonitor& operator=(const ReachMonitor&) = delete;

  /// @brief Sets a callback for each change of IsIsolated. Called from Tick
  /// and from inside the functions that report results.
  void SetOnChange(std::function<void()> callback) {
    on_change_ = std::move(callback);
  }

  /// @brief An upstream answered over a connection that was opened at
  /// `connection_opened_at`.
  void OnContact(Time connection_opened_at, Time now);

  /// @brief A new connection to an upstream failed; see
  /// UpstreamReach::OnConnectionFailed.
  void OnConnectionFailed(const UpstreamInfo& upstream, Time now);

  /// @brief A request that was sent at `sent_at` got no answer in its time.
  /// Probes follow if no upstream has answered any request since.
  void OnNoAnswer(Time sent_at, Time now);

  /// @brief Verifies by a probe that this host reaches upstreams, before a
  /// failure is blamed on one of them.
  /// @param suspect id of the upstream that failed; it is not probed.
  /// @param reached called if another upstream answers, or if there is no other
  /// upstream.
  void Verify(const std::string& suspect, std::function<void()> reached);

  void OnStall(Time now) { reach_.OnStall(now); }

  /// @brief Sends the probes that are due.
  /// @param has_silent_request returns whether any request in flight has sent
  /// bytes that stay unacknowledged. Called only if no upstream has answered
  /// for a while, as it asks the operating system about each connection.
  void Tick(const std::function<bool()>& has_silent_request, Time now);

  bool IsIsolated() const { return reach_.IsIsolated(); }
  const UpstreamReach& reach() const { return reach_; }

  /// @brief Number of probes sent so far.
  std::uint64_t probes() const { return probes_; }

  /// @brief How often this host became isolated.
  std::uint64_t isolations() const { return isolations_; }

 private:
  void CountListed();
  void SendDueProbes(Time now);
  std::vector<UpstreamInfo> OpenUpstreams() const;
  std::uint64_t NextSalt() const;
  void Probe(const UpstreamInfo& upstream);
  void FinishVerification(bool reached);
  void OnProbeResult(const UpstreamInfo& upstream,
                     const HttpClient& client,
                     const CallResult& result);
  void NotifyOnChange(bool was_isolated, const ReachEvidence& evidence);

  ConnectionPool& connections_;
  EventLog& events_;
  std::string host_;
  const UpstreamTable& upstreams_;
  const RouteTable& routes_;
  UpstreamReach reach_;
  std::function<void()> on_change_;
  std::map<std::uint64_t, HttpClientPtr> in_flight_;  ///< by number of probe
  std::optional<std::uint64_t> listed_revision_;
  /// Callbacks of Verify that wait for the probe verification_.
  std::vector<std::function<void()>> on_verified_;
  std::uint64_t verification_ = 0;  ///< number of the probe; 0: none in flight
  std::uint64_t probes_ = 0;
  std::uint64_t isolations_ = 0;
};

}  // namespace pathcleat
