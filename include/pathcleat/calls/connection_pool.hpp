// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "pathcleat/calls/idle_reuse_limit.hpp"
#include "pathcleat/core/memory_budget.hpp"
#include "pathcleat/http/http_client.hpp"
#include "pathcleat/routing/upstream_info.hpp"

namespace pathcleat {

/// @brief A connection counts as silent if a request on it is late and bytes
/// have been unacknowledged for this long: twice TCP's shortest pause before a
/// retransmission.
/// @ingroup calls
inline constexpr Duration kMinSilence{400'000};

/// @brief Idle connections, by upstream. The most recently used connection is
/// reused first, so that surplus connections stay idle and are closed.
/// @ingroup calls
class ConnectionPool {
 public:
  explicit ConnectionPool(boost::asio::io_context& loop) : loop_(loop) {}

  /// @brief Sets the local IP address from which new connections are opened;
  /// empty: chosen by the operating system.
  void SetLocalAddress(std::string address) {
    local_address_ = std::move(address);
  }

  /// @brief Lets the answers on all new connections share a memory budget.
  void SetMemoryBudget(MemoryBudgetPtr budget) {
    memory_budget_ = std::move(budget);
  }

  /// @brief Returns a connection for one request: an idle one or a new one that
  /// is not open yet.
  /// @param repeatable whether the request may be sent again if it is lost. If
  /// not, a connection that the upstream may have dropped while the connection
  /// was idle is never returned.
  HttpClientPtr Acquire(const UpstreamInfo& upstream,
                        bool repeatable,
                        Time now);

  /// @brief Called when an idle connection turned out to be closed on reuse.
  /// @param idle_time how long the connection had been idle.
  void OnStaleConnection(const UpstreamInfo& upstream,
                         Duration idle_time,
                         Time now);

  /// @brief Returns a new connection that is not open yet, even if there are
  /// idle connections to the upstream.
  HttpClientPtr Create(const UpstreamInfo& upstream);

  /// @brief Returns a connection to the pool after the answer was received.
  void Release(const std::string& upstream_id, const HttpClientPtr& client);

  /// @brief Closes the idle connections to an upstream.
  void CloseConnections(const std::string& upstream_id);

  /// @brief Called when a connection to an upstream was found silent. Closes
  /// the idle connections to this upstream that have received no bytes within
  /// kMinSilence. If another upstream fell silent at about the same time,
  /// closes such connections to all upstreams.
  /// @return whether the connection was opened after the upstream's last
  /// silence; connections opened before it show nothing new about the upstream.
  bool OnSilentConnection(const std::string& upstream_id,
                          const HttpClient& client,
                          Time now);

  /// @brief Number of connections found silent so far.
  std::uint64_t silent_connections() const { return silent_count_; }

  /// @brief Closes connections that have been idle for too long.
  void CloseIdle(Time now);

 private:
  using Connections = std::vector<HttpClientPtr>;

  HttpClientPtr AcquireIdle(const UpstreamInfo& upstream, Time now);
  static bool IsFresh(const HttpClient& client, Time now);
  static void CloseUnresponsive(Connections& connections, Time now);
  bool IsOtherUpstreamSilent(const std::string& upstream_id, Time now) const;
  void Discard(const HttpClientPtr& client);

  boost::asio::io_context& loop_;
  std::string local_address_;
  MemoryBudgetPtr memory_budget_;
  std::map<std::string, Connections> idle_;
  std::map<std::string, Time> silence_times_;                ///< by upstream id
  std::map<std::string, IdleReuseLimit> idle_reuse_limits_;  ///< by service
  std::uint64_t silent_count_ = 0;
};

}  // namespace pathcleat
