// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pathcleat/calls/idle_reuse_limit.hpp"
#include "pathcleat/http/http_client.hpp"
#include "pathcleat/routing/upstream_info.hpp"

namespace pathcleat {

/// @brief A request that is late and of which bytes have waited for so long
/// for an acknowledgement went into silence: twice TCP's shortest pause before
/// a retransmission.
/// @ingroup calls
inline constexpr Duration kMinSilence{400'000};

/// @brief Kept connections to the upstreams, by upstream. The last one used
/// is used first, so that those not needed grow old and are closed.
/// @ingroup calls
class ConnectionPool {
 public:
  explicit ConnectionPool(boost::asio::io_context& loop) : loop_(loop) {}

  /// @brief A connection for one request: a kept one or one not yet open.
  /// @param repeatable whether the request may be sent again where it is lost;
  /// else no connection is used that may have been forgotten at rest.
  HttpClientPtr Acquire(const UpstreamInfo& upstream,
                        bool repeatable,
                        Time now);

  /// @brief A kept connection was gone when it was used.
  /// @param rested since its last use.
  void OnStaleConnection(const UpstreamInfo& upstream,
                         Duration rested,
                         Time now);

  /// @brief A connection not yet open, though others are kept.
  HttpClientPtr Create(const UpstreamInfo& upstream);

  /// @brief Gives a connection back after its answer.
  void Release(const std::string& upstream_id, const HttpClientPtr& client);

  /// @brief Closes the kept connections of an upstream.
  void CloseConnections(const std::string& upstream_id);

  /// @brief A connection to an upstream was found silent. What is kept to it
  /// and was not heard lately is closed; with two upstreams so at about the
  /// same time, what is kept to all.
  /// @return whether it was opened since the upstream's last silence: others
  /// tell nothing new of the upstream.
  bool OnSilentConnection(const std::string& upstream_id,
                          const HttpClient& client,
                          Time now);

  /// @brief Connections found silent so far.
  std::uint64_t silent_connections() const { return silent_; }

  /// @brief Closes what has been idle for too long.
  void CloseIdle(Time now);

 private:
  using Kept = std::vector<HttpClientPtr>;

  HttpClientPtr TakeKept(const UpstreamInfo& upstream, Time now);
  static bool IsFresh(const HttpClient& client, Time now);
  static void CloseUnheard(Kept& kept, Time now);
  bool IsOtherSilent(const std::string& upstream_id, Time now) const;
  void Discard(const HttpClientPtr& client);

  boost::asio::io_context& loop_;
  std::map<std::string, Kept> idle_;
  std::map<std::string, Time> silences_;         ///< the last one, by upstream
  std::map<std::string, IdleReuseLimit> rests_;  ///< by service
  std::uint64_t silent_ = 0;
};

}  // namespace pathcleat
